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
 * Takes the reports of load that loaders send, and sends their probes back.
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
			// A sender that starts again begins its sequence with the time of day.
			if (lastSequence == null || lastSequence < report.getSequence()) {
				this.lastSequences.put(report.getAddress(), report.getSequence());
				this.listener.loadReported(report.getAddress(),
						report.getLoad().getRunning() + report.getLoad().getQueued(),
						report.getLoad().getAdmission() != Admission.SWITCHING, report.getLinkDelayMs(),
						report.getLateMs());
			}
		}
		catch (InvalidProtocolBufferException ex) {
			logger.atInfo().log("dropping a datagram from %s: %s", packet.sender(), ex.getMessage());
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
		logger.atInfo().log("datagram port: %s", cause);
	}

	/**
	 * Told of reports.
	 */
	interface Listener {

		/**
		 * A target was seen.
		 * @param address address of the target
		 * @param requests requests that run or wait there
		 * @param acceptsRequests whether it starts new requests
		 * @param linkDelayMs time for which bytes wait at the link of its machine, in ms
		 * @param lateMs by how much requests of other entries are late there without a
		 * sign of receipt, in ms
		 */
		void loadReported(String address, int requests, boolean acceptsRequests, int linkDelayMs, int lateMs);

		/**
		 * Tells by how much a request of this process is late at a target without a sign
		 * of receipt.
		 * @param address address of the target
		 * @return time in ms, 0 if none is
		 */
		double lateMs(String address);

	}

}
