package org.baobabknot.loader;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;

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
import org.baobabknot.fleet.ReportRecipients;
import org.baobabknot.link.LinkDelay;
import org.baobabknot.protocol.generated.Admission;
import org.baobabknot.protocol.generated.Load;
import org.baobabknot.protocol.generated.LoadReport;
import org.jspecify.annotations.Nullable;

/**
 * Reports the load of one engine and the delay of its machine's link to the entries, when
 * either has changed and at least once a second. A report is one datagram to each of the
 * {@link ReportRecipients}, and a lost one is replaced by the next. The link delay is
 * measured with probes that entries echo, entries of the same region first, since links
 * between regions do not belong to this machine. Confined to one event loop.
 */
final class LoadReporter {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final long MAX_REPORT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

	/** Minimum change of the number of requests at the engine that is reported. */
	private static final int MIN_REQUEST_CHANGE = 2;

	/**
	 * Minimum change of the link delay that is reported. It is a fraction of the half
	 * second for which a request may continue after its caller has disconnected.
	 */
	private static final double MIN_DELAY_CHANGE_MS = 60;

	/**
	 * Maximum age of the request lateness that an entry has echoed. Each entry of a
	 * region is probed several times within it.
	 */
	private static final long MAX_LATENESS_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

	/**
	 * Ratio of requests to slots below which the engine has free slots, so that requests
	 * do not wait there.
	 */
	private static final double FREE_SLOTS_LOAD_RATIO = 0.5;

	private final String address;

	private final String region;

	private final LinkDelay linkDelay = new LinkDelay();

	private List<EntryRecord> entries = List.of();

	private List<InetSocketAddress> sameRegion = List.of();

	private List<InetSocketAddress> relays = List.of();

	private List<InetSocketAddress> all = List.of();

	private @Nullable Channel channel;

	private long sequence = System.currentTimeMillis() << 16;

	private int reportedRequests = -1;

	private boolean reportedAccepting = true;

	private long reportedNanos;

	private double reportedDelayMs;

	private int probeCount;

	private double requestLatenessMs;

	private long latenessReceivedNanos = System.nanoTime();

	private boolean hasFreeSlots;

	/**
	 * Creates a reporter whose datagram port is not open.
	 * @param address address of the engine, as in the list of targets
	 * @param region region of this machine
	 */
	LoadReporter(String address, String region) {
		this.address = address;
		this.region = region;
	}

	void open(EventLoop loop, String host) {
		ChannelFuture binding = new Bootstrap().group(loop)
			.channel(NioDatagramChannel.class)
			.handler(new SimpleChannelInboundHandler<DatagramPacket>() {
				@Override
				protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
					handleEcho(packet);
				}

				@Override
				public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
					logger.atInfo().log("error on the datagram port for load reports: %s", cause);
				}
			})
			.bind(host, 0);
		binding.addListener((done) -> {
			if (done.isSuccess()) {
				this.channel = binding.channel();
			}
			else {
				logger.atWarning()
					.log("cannot open a datagram port, the load is not reported to entries: %s", done.cause());
			}
		});
	}

	private void handleEcho(DatagramPacket packet) {
		try {
			LoadReport echo = LoadReport.parseFrom(ByteBufUtil.getBytes(packet.content()));
			long now = System.nanoTime();
			this.linkDelay.recordEcho(echo.getProbe(), now);
			if (echo.getLateMs() >= requestLatenessMs(now)) {
				this.requestLatenessMs = echo.getLateMs();
				this.latenessReceivedNanos = now;
			}
		}
		catch (InvalidProtocolBufferException ex) {
			logger.atInfo().log("dropping a malformed datagram from %s: %s", packet.sender(), ex.getMessage());
		}
	}

	// While the engine has free slots, requests do not wait there, so their lateness is a
	// delay of the link.
	private double requestLatenessMs(long now) {
		boolean fresh = now - this.latenessReceivedNanos < MAX_LATENESS_AGE_NANOS;
		return (fresh && this.hasFreeSlots) ? this.requestLatenessMs : 0;
	}

	/**
	 * Sets the entries that receive reports and probes.
	 * @param registered all registered entries
	 */
	void updateEntries(List<EntryRecord> registered) {
		if (registered == this.entries) {
			return;
		}
		this.entries = registered;
		ReportRecipients recipients = ReportRecipients.of(registered, this.region);
		this.sameRegion = addresses(recipients.sameRegion());
		this.relays = addresses(recipients.relays());
		this.all = addresses(registered);
	}

	private static List<InetSocketAddress> addresses(List<EntryRecord> entries) {
		return entries.stream().map((entry) -> new InetSocketAddress(entry.host(), entry.port())).toList();
	}

	/**
	 * Sends a probe to the next entry of the same region, or of any region if there is
	 * none or several probes were not echoed.
	 */
	void sendProbe() {
		Channel openChannel = this.channel;
		List<InetSocketAddress> candidates = (this.sameRegion.isEmpty() || this.linkDelay.peersUnresponsive())
				? this.all : this.sameRegion;
		if (openChannel == null || candidates.isEmpty()) {
			return;
		}
		this.probeCount++;
		byte[] bytes = LoadReport.newBuilder()
			.setAddress(this.address)
			.setProbe(this.linkDelay.recordSent(System.nanoTime()))
			.build()
			.toByteArray();
		openChannel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(bytes),
				candidates.get(Math.floorMod(this.probeCount, candidates.size()))));
	}

	/**
	 * Returns the time for which bytes wait at the link of this machine: the larger of
	 * the delay of the probes and the lateness of requests that entries have echoed.
	 * @return time in ms
	 */
	double linkDelayMs() {
		long now = System.nanoTime();
		return Math.max(this.linkDelay.delayMs(now), requestLatenessMs(now));
	}

	/**
	 * Returns when the newest probe that was echoed had been sent.
	 * @return monotonic time; the current time as long as there is no entry to probe
	 */
	long confirmedNanos() {
		return (this.probeCount == 0) ? System.nanoTime() : this.linkDelay.lastEchoedSentNanos();
	}

	/**
	 * Reports the load if it has changed enough or the last report is too old.
	 * @param running requests that the engine runs
	 * @param queued requests that are queued at the engine
	 * @param accepting whether the engine starts new requests
	 * @param slots slots of the engine, 0 if unknown
	 */
	void reportIfChanged(int running, int queued, boolean accepting, int slots) {
		Channel openChannel = this.channel;
		long now = System.nanoTime();
		int requests = running + queued;
		this.hasFreeSlots = requests < slots * FREE_SLOTS_LOAD_RATIO;
		double delayMs = this.linkDelay.delayMs(now);
		double latenessMs = requestLatenessMs(now);
		boolean changed = Math.abs(requests - this.reportedRequests) >= MIN_REQUEST_CHANGE
				|| accepting != this.reportedAccepting
				|| Math.abs(Math.max(delayMs, latenessMs) - this.reportedDelayMs) >= MIN_DELAY_CHANGE_MS;
		if (openChannel == null || (!changed && now - this.reportedNanos < MAX_REPORT_INTERVAL_NANOS)) {
			return;
		}
		this.reportedRequests = requests;
		this.reportedAccepting = accepting;
		this.reportedDelayMs = Math.max(delayMs, latenessMs);
		this.reportedNanos = now;
		LoadReport report = LoadReport.newBuilder()
			.setAddress(this.address)
			.setSequence(++this.sequence)
			.setLinkDelayMs((int) Math.round(delayMs))
			.setLateMs((int) Math.round(latenessMs))
			.setLoad(Load.newBuilder()
				.setRunning(running)
				.setQueued(queued)
				.setAdmission((accepting) ? Admission.OPEN : Admission.SWITCHING))
			.build();
		send(openChannel, report, this.sameRegion);
		send(openChannel, report.toBuilder().setPassOn(true).build(), this.relays);
		openChannel.flush();
	}

	private static void send(Channel channel, LoadReport report, List<InetSocketAddress> recipients) {
		byte[] bytes = report.toByteArray();
		recipients.forEach((recipient) -> channel.write(new DatagramPacket(Unpooled.wrappedBuffer(bytes), recipient)));
	}

}
