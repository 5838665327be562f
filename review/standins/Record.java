package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, with the seconds since the start. */
final class Record {

	private static final long START = System.nanoTime();

	private static PrintWriter writer;

	private Record() {
	}

	static synchronized void open(Path file) throws IOException {
		writer = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
	}

	static double seconds() {
		return (System.nanoTime() - START) / 1e9;
	}

	static synchronized void line(String format, Object... values) {
		String text = String.format(Locale.ROOT, "%8.3f  ", seconds()) + String.format(Locale.ROOT, format, values);
		if (writer != null) {
			writer.println(text);
			writer.flush();
		}
	}

	static void verdict(String format, Object... values) {
		line(format, values);
		System.out.println(String.format(Locale.ROOT, format, values));
	}

}
