package org.baobabknot.gateway;

import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import org.baobabknot.fleet.EntryRecord;
import org.baobabknot.protocol.generated.Admission;
import org.baobabknot.protocol.generated.LoadReport;
import org.baobabknot.protocol.generated.PartReport;
import org.baobabknot.protocol.generated.PermitMessage;
import org.jspecify.annotations.Nullable;

/**
 * Receives the load reports that loaders send as datagrams, and echoes their probes. As a
 * relay of its region it passes the reports from other regions on to the entries there,
 * those of a short time in one datagram. Confined to one event loop.
 */
final class LoadReceiver extends SimpleChannelInboundHandler<DatagramPacket> {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/**
	 * Time for which reports are collected, a part of the time in which loaders read the
	 * load again.
	 */
	private static final long RELAY_DELAY_MS = 50;

	/** Reports in one datagram, so that it fits into one packet of a usual network. */
	private static final int MAX_RELAYED_REPORTS = 20;

	/** Targets whose last report is remembered, those that reported last. */
	private static final int MAX_ADDRESSES = 8_192;

	/** Requests at one target above which a report can't be. */
	private static final int MAX_REQUESTS = 1_000_000;

	/** Delays above which a report can't be, in ms. */
	private static final int MAX_DELAY_MS = 600_000;

	private final Listener listener;

	private final Supplier<List<EntryRecord>> relayRecipients;

	private final Map<String, Long> lastSequences = new LinkedHashMap<>(16, 0.75f, true) {
		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
			return size() > MAX_ADDRESSES;
		}
	};

	private final Map<String, LoadReport> reportsToPassOn = new LinkedHashMap<>();

	private @Nullable Channel channel;

	/**
	 * Creates a receiver.
	 * @param listener receives the reports
	 * @param relayRecipients supplies the other entries of the region of this process
	 */
	LoadReceiver(Listener listener, Supplier<List<EntryRecord>> relayRecipients) {
		this.listener = listener;
		this.relayRecipients = relayRecipients;
	}

	CompletableFuture<Void> bind(EventLoop loop, String host, int port) {
		CompletableFuture<Void> bound = new CompletableFuture<>();
		ChannelFuture binding = new Bootstrap().group(loop)
			.channel(NioDatagramChannel.class)
			.handler(this)
			.bind(host, port);
		binding.addListener((done) -> {
			if (done.isSuccess()) {
				this.channel = binding.channel();
				bound.complete(null);
			}
			else {
				bound.completeExceptionally(done.cause());
			}
		});
		return bound;
	}

	/**
	 * Sends evidence about parts of prompts. Does nothing before the port is bound.
	 * @param report the evidence
	 * @param recipients the entries that receive it
	 */
	void send(PartReport report, List<EntryRecord> recipients) {
		Channel boundChannel = this.channel;
		if (boundChannel != null) {
			recipients.forEach((recipient) -> send(boundChannel, report,
					new InetSocketAddress(recipient.host(), recipient.port())));
		}
	}

	/**
	 * Sends a message about limits. Does nothing before the port is bound.
	 * @param message the message
	 * @param recipients the entries that receive it
	 */
	void sendPermits(PermitMessage message, List<EntryRecord> recipients) {
		Channel boundChannel = this.channel;
		if (boundChannel != null) {
			LoadReport report = LoadReport.newBuilder().setPermits(message).build();
			recipients.forEach((recipient) -> write(boundChannel, report,
					new InetSocketAddress(recipient.host(), recipient.port())));
		}
	}

	private static void send(Channel channel, PartReport report, InetSocketAddress recipient) {
		write(channel, LoadReport.newBuilder().setParts(report).build(), recipient);
	}

	private static void write(Channel channel, LoadReport report, InetSocketAddress recipient) {
		channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(report.toByteArray()), recipient));
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
		try {
			LoadReport report = LoadReport.parseFrom(ByteBufUtil.getBytes(packet.content()));
			if (report.hasParts()) {
				this.listener.partsReported(report.getParts(),
						(response) -> send(context.channel(), response, packet.sender()));
				return;
			}
			if (report.hasPermits()) {
				this.listener.permitsReported(report.getPermits(), (response) -> write(context.channel(),
						LoadReport.newBuilder().setPermits(response).build(), packet.sender()));
				return;
			}
			if (report.getProbe() != 0) {
				echoProbe(context, packet, report);
				return;
			}
			if (report.getRelayedCount() > 0) {
				report.getRelayedList().forEach(this::handleReport);
			}
			else if (handleReport(report) && report.getPassOn()) {
				passOn(context, report);
			}
		}
		catch (InvalidProtocolBufferException ex) {
			logger.atInfo().log("dropping a malformed datagram from %s: %s", packet.sender(), ex.getMessage());
		}
	}

	// A restarted sender begins its sequence with the time of day, so its reports are not
	// taken for old ones.
	private boolean handleReport(LoadReport report) {
		if (!isPossible(report)) {
			logger.atInfo().log("dropping a load report of %s with values that can't be", report.getAddress());
			return false;
		}
		Long lastSequence = this.lastSequences.get(report.getAddress());
		if (lastSequence != null && lastSequence >= report.getSequence()) {
			return false;
		}
		this.lastSequences.put(report.getAddress(), report.getSequence());
		this.listener.loadReported(report.getAddress(), report.getLoad().getRunning() + report.getLoad().getQueued(),
				report.getLoad().getAdmission() != Admission.SWITCHING, report.getLinkDelayMs(), report.getLateMs());
		return true;
	}

	// Unsigned fields that exceed the range of int are negative here.
	private static boolean isPossible(LoadReport report) {
		return isBetween(report.getLoad().getRunning(), MAX_REQUESTS)
				&& isBetween(report.getLoad().getQueued(), MAX_REQUESTS)
				&& isBetween(report.getLinkDelayMs(), MAX_DELAY_MS) && isBetween(report.getLateMs(), MAX_DELAY_MS);
	}

	private static boolean isBetween(int value, int max) {
		return value >= 0 && value <= max;
	}

	private void passOn(ChannelHandlerContext context, LoadReport report) {
		if (this.reportsToPassOn.isEmpty()) {
			context.executor().schedule(() -> flushReports(context), RELAY_DELAY_MS, TimeUnit.MILLISECONDS);
		}
		this.reportsToPassOn.put(report.getAddress(), report.toBuilder().clearPassOn().build());
	}

	private void flushReports(ChannelHandlerContext context) {
		List<LoadReport> reports = List.copyOf(this.reportsToPassOn.values());
		this.reportsToPassOn.clear();
		List<InetSocketAddress> recipients = this.relayRecipients.get()
			.stream()
			.map((entry) -> new InetSocketAddress(entry.host(), entry.port()))
			.toList();
		for (int start = 0; start < reports.size(); start += MAX_RELAYED_REPORTS) {
			byte[] bytes = LoadReport.newBuilder()
				.addAllRelayed(reports.subList(start, Math.min(reports.size(), start + MAX_RELAYED_REPORTS)))
				.build()
				.toByteArray();
			recipients
				.forEach((recipient) -> context.write(new DatagramPacket(Unpooled.wrappedBuffer(bytes), recipient)));
		}
		context.flush();
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

		/**
		 * Called for each report about parts of prompts.
		 * @param report the report
		 * @param reply sends a report back to the sender
		 */
		void partsReported(PartReport report, Consumer<PartReport> reply);

		/**
		 * Called for each message about limits.
		 * @param message the message
		 * @param reply sends a message back to the sender
		 */
		void permitsReported(PermitMessage message, Consumer<PermitMessage> reply);

	}

}
