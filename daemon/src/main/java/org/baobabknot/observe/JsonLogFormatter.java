package org.baobabknot.observe;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Formats each log record as one line of JSON.
 */
public final class JsonLogFormatter extends Formatter {

	private final String instance;

	JsonLogFormatter(String instance) {
		this.instance = instance;
	}

	/**
	 * Makes the root logger write JSON lines to a log, so that a thread that logs never
	 * waits for the output.
	 * @param instance name of this instance, part of every line
	 * @param log receives the lines
	 */
	public static void install(String instance, DecisionLog log) {
		Logger root = Logger.getLogger("");
		for (Handler handler : root.getHandlers()) {
			root.removeHandler(handler);
		}
		Handler handler = new LogHandler(log);
		handler.setFormatter(new JsonLogFormatter(instance));
		handler.setLevel(Level.INFO);
		root.addHandler(handler);
		root.setLevel(Level.INFO);
	}

	@Override
	public String format(LogRecord entry) {
		ObjectNode line = JsonNodeFactory.instance.objectNode();
		line.put("time", entry.getInstant().toString());
		line.put("level", entry.getLevel().getName());
		line.put("instance", this.instance);
		line.put("logger", entry.getLoggerName());
		line.put("message", formatMessage(entry));
		if (entry.getThrown() != null) {
			StringWriter trace = new StringWriter();
			entry.getThrown().printStackTrace(new PrintWriter(trace));
			line.put("thrown", trace.toString());
		}
		return line + "\n";
	}

	private static final class LogHandler extends Handler {

		private final DecisionLog log;

		LogHandler(DecisionLog log) {
			this.log = log;
		}

		@Override
		public void publish(LogRecord entry) {
			if (isLoggable(entry)) {
				this.log.writeFormatted(getFormatter().format(entry));
			}
		}

		@Override
		public void flush() {
			// The end of the process waits for the log itself, for a limited time.
		}

		@Override
		public void close() {
			// The log has no resources of its own.
		}

	}

}
