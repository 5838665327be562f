package org.baobabknot.observe;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Writes one JSON line for each decision. The number of lines in each second is limited
 * separately for each importance, so that successes never suppress failures. A background
 * thread writes the lines; if its queue is full, lines are dropped and counted, so that
 * callers never block.
 */
public final class DecisionLog {

	private static final int MAX_QUEUED_LINES = 512;

	private static final long WINDOW_NANOS = 1_000_000_000L;

	private final String instance;

	private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);

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
	 * Returns the number of lines that were dropped because the output was too slow.
	 * @return their number
	 */
	public long droppedLines() {
		return this.droppedLines.get();
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
					enqueue(summary);
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

	private void enqueue(ObjectNode node) {
		if (!this.queue.offer(node + "\n")) {
			this.droppedLines.incrementAndGet();
		}
	}

	private void writeLines(OutputStream output) {
		try {
			while (true) {
				StringBuilder lines = new StringBuilder(this.queue.take());
				String next = this.queue.poll();
				while (next != null) {
					lines.append(next);
					next = this.queue.poll();
				}
				output.write(lines.toString().getBytes(StandardCharsets.UTF_8));
				output.flush();
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

	/**
	 * Importance of a line, each with its own limit of lines per second.
	 */
	public enum Importance {

		/** A change of the state of the process or of its view of others. */
		STATE(40),
		/** A request that was refused or failed, or an attempt that failed. */
		FAILURE(40),
		/** A request that was served. */
		SUCCESS(10);

		private final int maxLinesPerSecond;

		Importance(int maxLinesPerSecond) {
			this.maxLinesPerSecond = maxLinesPerSecond;
		}

	}

	/**
	 * Builder of a line.
	 */
	public final class Line {

		private final ObjectNode node;

		private final boolean enabled;

		private Line(Importance importance, String event, boolean enabled) {
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
				enqueue(this.node);
			}
		}

	}

}
