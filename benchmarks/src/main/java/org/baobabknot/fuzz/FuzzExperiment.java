package org.baobabknot.fuzz;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.baobabknot.experiment.ExperimentContext;
import org.baobabknot.experiment.ExperimentResult;
import org.baobabknot.experiment.Subcommand;

/**
 * Feeds mutated answers to the connection of the HTTP client. What a call gets must not
 * depend on the parts in which the bytes arrive, the memory of the connection must be
 * bounded, and there must be no exception that no handler expects.
 */
public final class FuzzExperiment implements Subcommand {

	private static final int MAX_CUTS = 6;

	/** Share of the trials in which the bytes arrive one by one. */
	private static final int SINGLE_BYTES_ONE_IN = 16;

	private static final int MAX_SINGLE_BYTES = 2_000;

	private static final int MAX_REPORTED = 10;

	private static final List<String> METHODS = List.of("GET", "POST", "GET", "PUT");

	@Override
	public void declare(OptionParser parser) {
		parser.accepts("seed", "seed of the mutations").withRequiredArg().ofType(Long.class).defaultsTo(1L);
		parser.accepts("count", "number of trials").withRequiredArg().ofType(Integer.class).defaultsTo(1_000_000);
		parser.accepts("seconds", "time after which no trial begins")
			.withRequiredArg()
			.ofType(Integer.class)
			.defaultsTo(600);
	}

	@Override
	public ExperimentResult run(OptionSet options, ExperimentContext context) {
		FuzzCounts counts = run((Long) options.valueOf("seed"), (Integer) options.valueOf("count"),
				(Integer) options.valueOf("seconds"));
		counts.faults().forEach((fault) -> context.report("%s", fault));
		ObjectNode figures = JsonNodeFactory.instance.objectNode();
		figures.put("trials", counts.trials())
			.put("ended", counts.ended())
			.put("faults", counts.faultCount())
			.put("seconds", counts.seconds());
		return new ExperimentResult(figures, counts.faultCount() == 0);
	}

	/**
	 * Runs trials.
	 * @param seed seed of the mutations
	 * @param count number of trials
	 * @param seconds time after which no trial begins
	 * @return what was seen
	 */
	public static FuzzCounts run(long seed, int count, int seconds) {
		long startNanos = System.nanoTime();
		List<String> faults = new ArrayList<>();
		int trials = 0;
		int ended = 0;
		int faultCount = 0;
		while (trials < count && System.nanoTime() - startNanos < TimeUnit.SECONDS.toNanos(seconds)) {
			// Each trial can be repeated from its own number.
			SplittableRandom random = new SplittableRandom(seed * 1_000_003 + trials);
			byte[] bytes = new AnswerMutator(random).next();
			AnswerTrial trial = new AnswerTrial(METHODS.get(random.nextInt(METHODS.size())));
			try {
				String whole = trial.play(bytes, List.of());
				String inParts = trial.play(bytes, cuts(random, bytes.length));
				if (!whole.equals(inParts)) {
					throw new IllegalStateException("whole: " + whole + "\nin parts: " + inParts);
				}
				if (whole.contains("\nended")) {
					ended++;
				}
			}
			catch (RuntimeException ex) {
				faultCount++;
				if (faults.size() < MAX_REPORTED) {
					faults.add("trial " + trials + ": " + ex + "\nof " + text(bytes));
				}
			}
			trials++;
		}
		return new FuzzCounts(trials, ended, faultCount, faults,
				(System.nanoTime() - startNanos) / (double) TimeUnit.SECONDS.toNanos(1));
	}

	private static List<Integer> cuts(SplittableRandom random, int length) {
		TreeSet<Integer> cuts = new TreeSet<>();
		if (length > 1 && length < MAX_SINGLE_BYTES && random.nextInt(SINGLE_BYTES_ONE_IN) == 0) {
			for (int cut = 1; cut < length; cut++) {
				cuts.add(cut);
			}
		}
		int count = 1 + random.nextInt(MAX_CUTS);
		for (int number = 0; number < count && length > 1; number++) {
			cuts.add(1 + random.nextInt(length - 1));
		}
		return List.copyOf(cuts);
	}

	private static String text(byte[] bytes) {
		String text = new String(bytes, 0, Math.min(bytes.length, MAX_SINGLE_BYTES), StandardCharsets.ISO_8859_1);
		return text.replace("\r", "\\r").replace("\n", "\\n");
	}

	/**
	 * What a run has seen.
	 *
	 * @param trials number of trials
	 * @param ended trials in which the call got a whole response
	 * @param faultCount trials that showed a fault
	 * @param faults the first faults with their trial and bytes
	 * @param seconds time of the run in seconds
	 */
	public record FuzzCounts(int trials, int ended, int faultCount, List<String> faults, double seconds) {
	}

}
