package org.baobabknot.standin;

import java.io.File;
import java.io.IOException;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/**
 * Runs the stand-ins of a settings file until the process is terminated. Prints the bound
 * ports as one line of JSON.
 */
public final class StandinProgram {

	private static final int EVENT_LOOP_THREADS = 4;

	private static final int EXIT_CODE_USAGE_ERROR = 2;

	private StandinProgram() {
	}

	/**
	 * Starts the program.
	 * @param arguments {@code --settings FILE}
	 */
	public static void main(String[] arguments) {
		OptionParser parser = new OptionParser();
		OptionSpec<File> settings = parser.accepts("settings", "settings file (JSON)")
			.withRequiredArg()
			.ofType(File.class)
			.required();
		EventLoopGroup group = new MultiThreadIoEventLoopGroup(EVENT_LOOP_THREADS, NioIoHandler.newFactory());
		try {
			OptionSet options = parser.parse(arguments);
			StandinSet set = StandinSet.start(group, new ObjectMapper().readTree(options.valueOf(settings)));
			System.out.println(set.ports());
		}
		catch (OptionException | IOException | IllegalArgumentException ex) {
			System.err.println(ex.getMessage());
			System.exit(EXIT_CODE_USAGE_ERROR);
		}
	}

}
