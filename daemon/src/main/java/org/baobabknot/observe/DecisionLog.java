package org.baobabknot.observe;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Writes one JSON line for each decision. The number of lines in each second is limited
 * separately for each importance, so that successes never suppress failures. A background
 * thread writes the lines; if its queue is full, lines are dropped and counted, so that
 * callers never block. Only the end of the process waits for its last lines, for a
 * limited time.
 */
public final class DecisionLog {

	private static final int MAX_QUEUED_LINES = 512;

	private static final long WINDOW_NANOS = 1_000_000_000L;

	private final String instance;

	private final BlockingQueue<String> queue = new LinkedBlockingQueue<>();

	private final Object writtenMonitor = new Object();

	/** Lines that were queued, including those that have been written. */
	private final AtomicLong queuedLines = new AtomicLong();

	/** Lines that the output has accepted, guarded by {@link #writtenMonitor}. */
	private long writtenLines;

	private final AtomicLong droppedLines = new AtomicLong();

	private final int[] writtenInWindow = new int[Importance.values().length];

	private final int[] suppressedInWindow = new int[Importance.values().length];

	private long windowStartNanos = System.nanoTime();

	/**
	 * Creates a log on standard output and starts its thread.
	 * @param instance name of this instance, part of every line
	 */
	public DecisionLog(String instance) {
		this(instance, new FileOutputStream(FileDescriptor.out));
	}

	/**
	 * Creates a log on standard error and starts its thread.
	 * @param instance name of this instance, part of every line
	 * @return the log
	 */
	public static DecisionLog toStandardError(String instance) {
		return new DecisionLog(instance, new FileOutputStream(FileDescriptor.err));
	}

	/**
	 * Creates a log and starts its thread.
	 * @param instance name of this instance, part of every line
	 * @param output receives the lines
	 */
	public DecisionLog(String instance, OutputStream output) {
		this.instance = instance;
		Thread writer = new Thread(() -> writeLines(output), "decision-log");
		writer.setDaemon(true);
		writer.start();
	}

	/**
	 * Starts a line.
	 * @param importance its importance
	 * @param event name of the event, a few words with dashes
	 * @return the line, to which fields can be added
	 */
	public Line line(Importance importance, String event) {
		return new Line(importance, event, withinLimit(importance));
	}

	/**
	 * Writes a line that another logger has formatted.
	 * @param line the line with its end
	 */
	void writeFormatted(String line) {
		enqueue(line, Importance.STATE);
	}

	/**
	 * Returns the number of lines that were dropped because the output was too slow.
	 * @return their number
	 */
	public long droppedLines() {
		return this.droppedLines.get();
	}

	/**
	 * Waits until the output has accepted all lines that were queued before.
	 * @param timeoutMs longest time to wait, in ms
	 * @return whether it has; false for an output that is blocked or has failed
	 */
	public boolean flush(long timeoutMs) {
		long expected = this.queuedLines.get();
		long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
		synchronized (this.writtenMonitor) {
			try {
				while (this.writtenLines < expected) {
					long leftNanos = deadlineNanos - System.nanoTime();
					if (leftNanos <= 0) {
						return false;
					}
					TimeUnit.NANOSECONDS.timedWait(this.writtenMonitor, leftNanos);
				}
				return true;
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return false;
			}
		}
	}

	private synchronized boolean withinLimit(Importance importance) {
		long now = System.nanoTime();
		if (now - this.windowStartNanos >= WINDOW_NANOS) {
			this.windowStartNanos = now;
			for (Importance level : Importance.values()) {
				int count = this.suppressedInWindow[level.ordinal()];
				this.writtenInWindow[level.ordinal()] = 0;
				this.suppressedInWindow[level.ordinal()] = 0;
				if (count > 0) {
					ObjectNode summary = newLine("lines-suppressed");
					summary.put("importance", level.name()).put("lines", count);
					enqueue(summary + "\n", Importance.STATE);
				}
			}
		}
		if (this.writtenInWindow[importance.ordinal()] >= importance.maxLinesPerSecond) {
			this.suppressedInWindow[importance.ordinal()]++;
			return false;
		}
		this.writtenInWindow[importance.ordinal()]++;
		return true;
	}

	private ObjectNode newLine(String event) {
		ObjectNode node = JsonNodeFactory.instance.objectNode();
		node.put("time", Instant.now().toString());
		node.put("instance", this.instance);
		node.put("event", event);
		return node;
	}

	private void enqueue(String line, Importance importance) {
		if (this.queue.size() >= importance.maxQueuedLines) {
			this.droppedLines.incrementAndGet();
			return;
		}
		this.queuedLines.incrementAndGet();
		this.queue.add(line);
	}

	private void writeLines(OutputStream output) {
		try {
			while (true) {
				StringBuilder lines = new StringBuilder(this.queue.take());
				int count = 1;
				String next = this.queue.poll();
				while (next != null) {
					lines.append(next);
					count++;
					next = this.queue.poll();
				}
				output.write(lines.toString().getBytes(StandardCharsets.UTF_8));
				output.flush();
				recordWritten(count);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		catch (IOException ex) {
			// Counted only: the output that would report the error has failed itself.
			this.droppedLines.incrementAndGet();
		}
	}

	private void recordWritten(int count) {
		synchronized (this.writtenMonitor) {
			this.writtenLines += count;
			this.writtenMonitor.notifyAll();
		}
	}

	/**
	 * Importance of a line, each with its own limit of lines per second.
	 */
	public enum Importance {

		/** A change of the state of the process or of its view of others. */
		STATE(40, MAX_QUEUED_LINES),
		/** A request that was refused or failed, or an attempt that failed. */
		FAILURE(40, MAX_QUEUED_LINES),
		/** A request that was served. */
		SUCCESS(10, MAX_QUEUED_LINES),
		/**
		 * The end of the process, or of a request that it ends. There are as many as open
		 * requests, and nothing else tells what became of them.
		 */
		PROCESS_END(Integer.MAX_VALUE, Integer.MAX_VALUE);

		private final int maxLinesPerSecond;

		private final int maxQueuedLines;

		Importance(int maxLinesPerSecond, int maxQueuedLines) {
			this.maxLinesPerSecond = maxLinesPerSecond;
			this.maxQueuedLines = maxQueuedLines;
		}

	}

	/**
	 * Builder of a line.
	 */
	public final class Line {

		private final ObjectNode node;

		private final Importance importance;

		private final boolean enabled;

		private Line(Importance importance, String event, boolean enabled) {
			this.importance = importance;
			this.enabled = enabled;
			this.node = (enabled) ? newLine(event) : JsonNodeFactory.instance.objectNode();
		}

		/**
		 * Adds a text field, unless the text is empty.
		 * @param name name of the field
		 * @param value the text
		 * @return this line
		 */
		public Line with(String name, String value) {
			if (this.enabled && !value.isEmpty()) {
				this.node.put(name, value);
			}
			return this;
		}

		/**
		 * Adds a numeric field.
		 * @param name name of the field
		 * @param value the number
		 * @return this line
		 */
		public Line with(String name, long value) {
			if (this.enabled) {
				this.node.put(name, value);
			}
			return this;
		}

		/**
		 * Writes the line, unless it exceeds the limit for its importance.
		 */
		public void write() {
			if (this.enabled) {
				enqueue(this.node + "\n", this.importance);
			}
		}

	}

}
