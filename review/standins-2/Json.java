import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON as maps, lists, strings, numbers, booleans and null. */
final class Json {

	private final String text;

	private int position;

	private Json(String text) {
		this.text = text;
	}

	@SuppressWarnings("unchecked")
	static Map<String, Object> object(String text) {
		return (Map<String, Object>) new Json(text).value();
	}

	static Map<String, Object> map(Object... namesAndValues) {
		Map<String, Object> map = new LinkedHashMap<>();
		for (int index = 0; index < namesAndValues.length; index += 2) {
			map.put((String) namesAndValues[index], namesAndValues[index + 1]);
		}
		return map;
	}

	static long number(Map<String, Object> map, String name, long absent) {
		Object value = map.get(name);
		return (value instanceof Number number) ? number.longValue() : absent;
	}

	@SuppressWarnings("unchecked")
	static List<Map<String, Object>> objects(Map<String, Object> map, String name) {
		Object value = map.get(name);
		return (value instanceof List<?> list) ? (List<Map<String, Object>>) (List<?>) list : List.of();
	}

	static String write(Object value) {
		StringBuilder out = new StringBuilder();
		write(value, out);
		return out.toString();
	}

	private static void write(Object value, StringBuilder out) {
		if (value instanceof Map<?, ?> map) {
			out.append('{');
			String separator = "";
			for (Map.Entry<?, ?> entry : map.entrySet()) {
				out.append(separator);
				write(entry.getKey(), out);
				out.append(':');
				write(entry.getValue(), out);
				separator = ",";
			}
			out.append('}');
		}
		else if (value instanceof List<?> list) {
			out.append('[');
			String separator = "";
			for (Object item : list) {
				out.append(separator);
				write(item, out);
				separator = ",";
			}
			out.append(']');
		}
		else if (value instanceof String string) {
			out.append('"').append(string.replace("\\", "\\\\").replace("\"", "\\\"")).append('"');
		}
		else {
			out.append(value);
		}
	}

	private void skipSpace() {
		while (Character.isWhitespace(this.text.charAt(this.position))) {
			this.position++;
		}
	}

	private Object value() {
		skipSpace();
		char first = this.text.charAt(this.position);
		if (first == '{') {
			return objectValue();
		}
		if (first == '[') {
			return listValue();
		}
		if (first == '"') {
			return stringValue();
		}
		int start = this.position;
		while (this.position < this.text.length() && ",]} \r\n\t".indexOf(this.text.charAt(this.position)) < 0) {
			this.position++;
		}
		String word = this.text.substring(start, this.position);
		return switch (word) {
			case "true" -> true;
			case "false" -> false;
			case "null" -> null;
			default -> (word.contains(".") || word.contains("e")) ? (Object) Double.valueOf(word) : Long.valueOf(word);
		};
	}

	private Map<String, Object> objectValue() {
		Map<String, Object> map = new LinkedHashMap<>();
		this.position++;
		while (next('}')) {
			String name = stringValue();
			skipSpace();
			this.position++;
			map.put(name, value());
		}
		return map;
	}

	private List<Object> listValue() {
		List<Object> list = new ArrayList<>();
		this.position++;
		while (next(']')) {
			list.add(value());
		}
		return list;
	}

	// Moves to the next element; false after the end of the list or object.
	private boolean next(char end) {
		skipSpace();
		if (this.text.charAt(this.position) == ',') {
			this.position++;
			skipSpace();
		}
		if (this.text.charAt(this.position) == end) {
			this.position++;
			return false;
		}
		return true;
	}

	private String stringValue() {
		StringBuilder out = new StringBuilder();
		this.position++;
		while (this.text.charAt(this.position) != '"') {
			char each = this.text.charAt(this.position++);
			if (each == '\\') {
				char escaped = this.text.charAt(this.position++);
				if (escaped == 'u') {
					out.append((char) Integer.parseInt(this.text.substring(this.position, this.position + 4), 16));
					this.position += 4;
				}
				else {
					out.append(switch (escaped) {
						case 'n' -> '\n';
						case 't' -> '\t';
						case 'r' -> '\r';
						default -> escaped;
					});
				}
			}
			else {
				out.append(each);
			}
		}
		this.position++;
		return out.toString();
	}

}
