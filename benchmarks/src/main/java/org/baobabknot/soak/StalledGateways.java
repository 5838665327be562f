package org.baobabknot.soak;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.baobabknot.experiment.LaunchedProcess;

/**
 * Finds the times in which a gateway got no processor time, from the lines that it writes
 * when its event loop ran late. The rules excuse a frozen machine.
 */
final class StalledGateways {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	/** Lateness from which a gateway counts as frozen. */
	private static final long MIN_STALL_MS = 200;

	/** Time after the end of a stall in which the gateway works off what has arrived. */
	private static final long MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

	private StalledGateways() {
	}

	/**
	 * Reads the log of a gateway.
	 * @param gateway number of the gateway
	 * @param process the process
	 * @return its stalls
	 */
	static List<SoakHistory.Disturbance> of(int gateway, LaunchedProcess process) {
		long wallMs = System.currentTimeMillis();
		long nanos = System.nanoTime();
		List<SoakHistory.Disturbance> stalls = new ArrayList<>();
		for (String line : process.logText().split("\n")) {
			if (!line.contains("\"event\":\"loop-late\"")) {
				continue;
			}
			try {
				JsonNode node = MAPPER.readTree(line);
				long lateMs = node.path("lateMs").asLong();
				if (lateMs >= MIN_STALL_MS) {
					long endNanos = nanos - TimeUnit.MILLISECONDS
						.toNanos(wallMs - Instant.parse(node.path("time").asText()).toEpochMilli());
					stalls.add(new SoakHistory.Disturbance(gateway, endNanos - TimeUnit.MILLISECONDS.toNanos(lateMs),
							endNanos + MARGIN_NANOS, false));
				}
			}
			catch (JsonProcessingException ex) {
				// The last line of a killed process can be cut off.
			}
		}
		return stalls;
	}

}
