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
import org.baobabknot.link.LinkDelay;
import org.baobabknot.protocol.generated.Admission;
import org.baobabknot.protocol.generated.Load;
import org.baobabknot.protocol.generated.LoadReport;
import org.jspecify.annotations.Nullable;

/**
 * Tells all entries the load of one engine and the delay of its link, when one of them
 * has changed and at least once a second. A report is one datagram; a lost one is
 * replaced by the next. The delay is that of probes, which entries send back: those of
 * the own region first, since the links between regions are not of this machine. Runs on
 * one event loop.
 */
final class LoadReporter {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final long MAX_REPORT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

	/** Change of the requests at an engine that entries are told. */
	private static final int MIN_REQUEST_CHANGE = 2;

	/**
	 * Change of the link's delay that entries are told, in ms: a part of the half second
	 * for which a request may go on after its caller has left.
	 */
	private static final double MIN_DELAY_CHANGE_MS = 60;

	/**
	 * Time for which what an entry tells of its late requests counts: several probes to
	 * each entry of a region.
	 */
	private static final long MAX_LATENESS_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

	/** Part of the slots of an engine below which its requests don't wait there. */
	private static final double FREE_SLOTS_LOAD_RATIO = 0.5;

	private final String address;

	private final String region;

	private final LinkDelay linkDelay = new LinkDelay();

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
	 * Creates a sender that sends nothing yet.
	 * @param address address of the engine, as targets are listed
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
					logger.atInfo().log("datagram port: %s", cause);
				}
			})
			.bind(host, 0);
		binding.addListener((done) -> {
			if (done.isSuccess()) {
				this.channel = binding.channel();
			}
			else {
				logger.atWarning().log("entries are not told of the load: %s", done.cause());
			}
		});
	}

	private void handleEcho(DatagramPacket packet) {
		try {
			LoadReport echo = LoadReport.parseFrom(ByteBufUtil.getBytes(packet.content()));
			long now = System.nanoTime();
			this.linkDelay.echoed(echo.getProbe(), now);
			if (echo.getLateMs() >= requestLatenessMs(now)) {
				this.requestLatenessMs = echo.getLateMs();
				this.latenessReceivedNanos = now;
			}
		}
		catch (InvalidProtocolBufferException ex) {
			logger.atInfo().log("dropping a datagram from %s: %s", packet.sender(), ex.getMessage());
		}
	}

	// Requests that are late at an engine with free places are late on their way.
	private double requestLatenessMs(long now) {
		boolean fresh = now - this.latenessReceivedNanos < MAX_LATENESS_AGE_NANOS;
		return (fresh && this.hasFreeSlots) ? this.requestLatenessMs : 0;
	}

	/**
	 * Sends a probe to the next entry of the own region, or of any region if those don't
	 * answer.
	 * @param entries all entries
	 */
	void sendProbe(List<EntryRecord> entries) {
		Channel openChannel = this.channel;
		List<EntryRecord> sameRegion = entries.stream().filter((entry) -> entry.region().equals(this.region)).toList();
		List<EntryRecord> candidates = (sameRegion.isEmpty() || this.linkDelay.unanswered()) ? entries : sameRegion;
		if (openChannel == null || candidates.isEmpty()) {
			return;
		}
		this.probeCount++;
		EntryRecord entry = candidates.get(Math.floorMod(this.probeCount, candidates.size()));
		byte[] bytes = LoadReport.newBuilder()
			.setAddress(this.address)
			.setProbe(this.linkDelay.sent(System.nanoTime()))
			.build()
			.toByteArray();
		openChannel.writeAndFlush(datagram(bytes, entry));
	}

	/**
	 * Returns for how long bytes wait at the link of this machine: as probes show it, or
	 * the requests of entries.
	 * @return time in ms
	 */
	double linkDelayMs() {
		long now = System.nanoTime();
		return Math.max(this.linkDelay.delayMs(now), requestLatenessMs(now));
	}

	/**
	 * Returns when the newest probe that came back was sent.
	 * @return monotonic time; the present one as long as there is nobody to probe
	 */
	long confirmedNanos() {
		return (this.probeCount == 0) ? System.nanoTime() : this.linkDelay.confirmedNanos();
	}

	private static DatagramPacket datagram(byte[] bytes, EntryRecord entry) {
		return new DatagramPacket(Unpooled.wrappedBuffer(bytes), new InetSocketAddress(entry.host(), entry.port()));
	}

	/**
	 * Tells the load if it is worth telling.
	 * @param entries all entries
	 * @param running requests that run
	 * @param queued requests that wait
	 * @param accepting whether the engine starts new requests
	 * @param slots requests that the engine runs at once, 0 if that is not known
	 */
	void reportIfChanged(List<EntryRecord> entries, int running, int queued, boolean accepting, int slots) {
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
		byte[] bytes = LoadReport.newBuilder()
			.setAddress(this.address)
			.setSequence(++this.sequence)
			.setLinkDelayMs((int) Math.round(delayMs))
			.setLateMs((int) Math.round(latenessMs))
			.setLoad(Load.newBuilder()
				.setRunning(running)
				.setQueued(queued)
				.setAdmission((accepting) ? Admission.OPEN : Admission.SWITCHING))
			.build()
			.toByteArray();
		for (EntryRecord entry : entries) {
			openChannel.write(datagram(bytes, entry));
		}
		openChannel.flush();
	}

}
