package org.baobabknot.burst;

import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Baseline in which every replica fetches every chunk from the origin. The origin's link
 * carries only four copies in the allowed time, so N copies would take very long. The
 * measurement is therefore limited in time, and the duration for all replicas is
 * projected from the bytes received.
 */
final class OriginBaseline {

	private final InetSocketAddress origin;

	private final String path;

	private final int chunkCount;

	OriginBaseline(InetSocketAddress origin, String path, int chunkCount) {
		this.origin = origin;
		this.path = path;
		this.chunkCount = chunkCount;
	}

	/**
	 * Runs the measurement.
	 * @param replicas number of replicas
	 * @param modelBytes bytes of the model
	 * @param limitMillis longest time of the measurement, in milliseconds
	 * @return the result
	 * @throws InterruptedException when interrupted
	 */
	Result run(int replicas, long modelBytes, long limitMillis) throws InterruptedException {
		AtomicLong receivedBytes = new AtomicLong();
		AtomicLong completeReplicas = new AtomicLong();
		ExecutorService workers = Executors.newFixedThreadPool(replicas);
		long start = System.nanoTime();
		List<Future<?>> fetches = new ArrayList<>();
		for (int replica = 0; replica < replicas; replica++) {
			fetches.add(workers.submit(() -> fetchModel(receivedBytes, completeReplicas)));
		}
		workers.shutdown();
		workers.awaitTermination(limitMillis, TimeUnit.MILLISECONDS);
		double seconds = (System.nanoTime() - start) / 1e9;
		long bytes = receivedBytes.get();
		workers.shutdownNow();
		double projectedSeconds = seconds * replicas * modelBytes / Math.max(1, bytes);
		return new Result(completeReplicas.get(), bytes / (double) modelBytes, seconds, projectedSeconds);
	}

	private void fetchModel(AtomicLong receivedBytes, AtomicLong completeReplicas) {
		HttpClient client = HttpClient.newHttpClient();
		try {
			for (int chunk = 0; chunk < this.chunkCount; chunk++) {
				URI uri = URI.create("http://" + this.origin.getHostString() + ":" + this.origin.getPort() + this.path
						+ "/chunks/" + chunk);
				HttpResponse<byte[]> response = client.send(HttpRequest.newBuilder(uri).build(),
						HttpResponse.BodyHandlers.ofByteArray());
				receivedBytes.addAndGet(response.body().length);
			}
			completeReplicas.incrementAndGet();
		}
		catch (java.io.IOException ex) {
			// The replica counts as incomplete in the result.
			receivedBytes.addAndGet(0);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Figures of the baseline.
	 *
	 * @param completeReplicas replicas that received the complete model
	 * @param copies copies fetched from the origin
	 * @param seconds duration of the measurement
	 * @param projectedSeconds projected time until all replicas have the complete model,
	 * at the measured rate
	 */
	record Result(long completeReplicas, double copies, double seconds, double projectedSeconds) {

	}

}
