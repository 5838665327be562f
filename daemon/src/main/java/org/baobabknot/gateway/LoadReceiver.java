package org.baobabknot.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import org.baobabknot.protocol.generated.Admission;
import org.baobabknot.protocol.generated.LoadReport;

/**
 * Receives the load reports that loaders send as datagrams, and echoes their probes.
 */
final class LoadReceiver extends SimpleChannelInboundHandler<DatagramPacket> {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private final Listener listener;

	private final Map<String, Long> lastSequences = new HashMap<>();

	LoadReceiver(Listener listener) {
		this.listener = listener;
	}

	CompletableFuture<Void> bind(EventLoop loop, String host, int port) {
		CompletableFuture<Void> bound = new CompletableFuture<>();
		new Bootstrap().group(loop)
			.channel(NioDatagramChannel.class)
			.handler(this)
			.bind(host, port)
			.addListener((done) -> {
				if (done.isSuccess()) {
					bound.complete(null);
				}
				else {
					bound.completeExceptionally(done.cause());
				}
			});
		return bound;
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
		try {
			LoadReport report = LoadReport.parseFrom(ByteBufUtil.getBytes(packet.content()));
			if (report.getProbe() != 0) {
				echoProbe(context, packet, report);
				return;
			}
			Long lastSequence = this.lastSequences.get(report.getAddress());
			// A restarted sender begins its sequence with the time of day, so its reports
			// are not taken for old ones.
			if (lastSequence == null || lastSequence < report.getSequence()) {
				this.lastSequences.put(report.getAddress(), report.getSequence());
				this.listener.loadReported(report.getAddress(),
						report.getLoad().getRunning() + report.getLoad().getQueued(),
						report.getLoad().getAdmission() != Admission.SWITCHING, report.getLinkDelayMs(),
						report.getLateMs());
			}
		}
		catch (InvalidProtocolBufferException ex) {
			logger.atInfo().log("dropping a malformed datagram from %s: %s", packet.sender(), ex.getMessage());
		}
	}

	private void echoProbe(ChannelHandlerContext context, DatagramPacket packet, LoadReport probe) {
		byte[] bytes = probe.toBuilder()
			.setLateMs((int) Math.round(this.listener.lateMs(probe.getAddress())))
			.build()
			.toByteArray();
		context.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(bytes), packet.sender()));
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		logger.atInfo().log("error on the datagram port of load reports: %s", cause);
	}

	/**
	 * Receives load reports, and supplies the lateness that probes ask for.
	 */
	interface Listener {

		/**
		 * Called for each load report that is newer than the previous one of its target.
		 * @param address address of the target
		 * @param requests requests that run or are queued there
		 * @param acceptsRequests whether the target starts new requests
		 * @param linkDelayMs queueing delay of the link of the target's instance, in ms
		 * @param lateMs lateness of requests of other entries whose receipt the target
		 * has not confirmed, in ms
		 */
		void loadReported(String address, int requests, boolean acceptsRequests, int linkDelayMs, int lateMs);

		/**
		 * Returns the lateness of the first request of this process whose receipt a
		 * target has not confirmed.
		 * @param address address of the target
		 * @return time beyond the predicted latency in ms, 0 if no request is late
		 */
		double lateMs(String address);

	}

}
