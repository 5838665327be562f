package org.baobabknot.experiment;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.baobabknot.standin.origin.ModelVersion;
import org.baobabknot.target.HttpTarget;
import org.baobabknot.target.LoadCommand;
import org.baobabknot.target.LoadResult;
import org.baobabknot.target.TargetKind;
import org.baobabknot.target.TargetObserver;
import org.baobabknot.target.TargetSettings;

/**
 * Loads the first model version into all engines directly, without the agents, for runs
 * that do not test the distribution of weights.
 */
final class EnginePreload {

	private static final int PART_BYTES = 256 * 1024;

	private static final long LOAD_TIMEOUT_SECONDS = 60;

	private EnginePreload() {
	}

	static void load(Fleet fleet, long seed) throws IOException, InterruptedException {
		Deployment deployment = fleet.deployment();
		ModelVersion model = ModelVersion.generate(deployment.modelService().name(), Fleet.FIRST_VERSION, seed,
				deployment.model().bytes(), deployment.model().chunkBytes());
		EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
		try {
			for (Deployment.Instance instance : deployment.instances()) {
				if (instance.service().filter(Deployment.Service::engine).isPresent()) {
					load(group, fleet.targetAddress(instance.name()), model);
				}
			}
		}
		catch (ExecutionException | TimeoutException ex) {
			throw new IOException("engines were not loaded", ex);
		}
		finally {
			group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
		}
	}

	private static void load(EventLoopGroup group, InetSocketAddress address, ModelVersion model)
			throws IOException, InterruptedException, ExecutionException, TimeoutException {
		TargetSettings settings = TargetSettings.of(address.getHostString(), address.getPort(), TargetKind.ENGINE);
		LoadCommand command = new LoadCommand(model.manifest().version(), model.manifest().wholeDigest(), 1,
				model.content().length);
		try (HttpTarget target = new HttpTarget(group, settings, TargetObserver.NONE)) {
			LoadResult result = target.load(command, (index) -> part(model.content(), index))
				.get(LOAD_TIMEOUT_SECONDS, TimeUnit.SECONDS);
			if (!(result instanceof LoadResult.Loaded)) {
				throw new IOException("load at " + address + ": " + result);
			}
		}
	}

	private static byte[] part(byte[] content, int index) {
		int start = Math.min(content.length, index * PART_BYTES);
		return Arrays.copyOfRange(content, start, Math.min(content.length, start + PART_BYTES));
	}

}
