package review;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Parses the few JSON bodies that the stand-ins receive, and quotes text for those that they send. */
final class Json {

	private final String text;

	private int position;

	private Json(String text) {
		this.text = text;
	}

	static Map<String, Object> object(byte[] body) {
		Object value = new Json(new String(body, java.nio.charset.StandardCharsets.UTF_8)).value();
		@SuppressWarnings("unchecked")
		Map<String, Object> map = (Map<String, Object>) value;
		return map;
	}

	static String quote(String value) {
		return '"' + value.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
	}

	private char next() {
		while (Character.isWhitespace(this.text.charAt(this.position))) {
			this.position++;
		}
		return this.text.charAt(this.position);
	}

	private Object value() {
		char first = next();
		if (first == '{') {
			Map<String, Object> map = new LinkedHashMap<>();
			this.position++;
			while (next() != '}') {
				String key = string();
				next();
				this.position++;
				map.put(key, value());
				if (next() == ',') {
					this.position++;
				}
			}
			this.position++;
			return map;
		}
		if (first == '[') {
			List<Object> list = new ArrayList<>();
			this.position++;
			while (next() != ']') {
				list.add(value());
				if (next() == ',') {
					this.position++;
				}
			}
			this.position++;
			return list;
		}
		if (first == '"') {
			return string();
		}
		int start = this.position;
		while (this.position < this.text.length() && ",]} \n\r\t".indexOf(this.text.charAt(this.position)) < 0) {
			this.position++;
		}
		String word = this.text.substring(start, this.position);
		return switch (word) {
			case "true" -> Boolean.TRUE;
			case "false" -> Boolean.FALSE;
			case "null" -> null;
			default -> (word.matches("-?\\d+")) ? (Object) Long.valueOf(word) : Double.valueOf(word);
		};
	}

	private String string() {
		next();
		StringBuilder result = new StringBuilder();
		this.position++;
		while (this.text.charAt(this.position) != '"') {
			char character = this.text.charAt(this.position++);
			if (character == '\\') {
				char escaped = this.text.charAt(this.position++);
				if (escaped == 'u') {
					result.append((char) Integer.parseInt(this.text.substring(this.position, this.position + 4), 16));
					this.position += 4;
					continue;
				}
				character = switch (escaped) {
					case 'n' -> '\n';
					case 'r' -> '\r';
					case 't' -> '\t';
					default -> escaped;
				};
			}
			result.append(character);
		}
		this.position++;
		return result.toString();
	}

}
