package org.baobabknot.observe;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.logging.ConsoleHandler;
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
	 * Makes the root logger write JSON lines to standard error.
	 * @param instance name of this instance, part of every line
	 */
	public static void install(String instance) {
		Logger root = Logger.getLogger("");
		for (Handler handler : root.getHandlers()) {
			root.removeHandler(handler);
		}
		ConsoleHandler console = new ConsoleHandler();
		console.setFormatter(new JsonLogFormatter(instance));
		console.setLevel(Level.INFO);
		root.addHandler(console);
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

}
