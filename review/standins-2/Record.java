import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with the time since the start in seconds. */
final class Record {

	private final long startNanos = System.nanoTime();

	private final PrintWriter out;

	Record(Path file) {
		try {
			this.out = new PrintWriter(Files.newBufferedWriter(file), true);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	double seconds() {
		return (System.nanoTime() - this.startNanos) / 1e9;
	}

	synchronized void line(String text) {
		this.out.printf("%8.3f %s%n", seconds(), text);
	}

}
