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
final class LoadSender {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final long LONGEST_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

	/** Change of the requests at an engine that entries are told. */
	private static final int LEAST_CHANGE = 2;

	/**
	 * Change of the link's delay that entries are told, in ms: a part of the half second
	 * for which a request may go on after its caller has left.
	 */
	private static final double LEAST_DELAY_CHANGE_MS = 60;

	/**
	 * Time for which what an entry tells of its late requests counts: several probes to
	 * each entry of a region.
	 */
	private static final long LATE_FRESH_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

	/** Part of the slots of an engine below which its requests don't wait there. */
	private static final double FREE_SHARE = 0.5;

	private final String address;

	private final String region;

	private final LinkDelay delay = new LinkDelay();

	private @Nullable Channel channel;

	private long sequence = System.currentTimeMillis() << 16;

	private int toldRequests = -1;

	private boolean toldAccepts = true;

	private long toldNanos;

	private double toldDelayMs;

	private int probed;

	private double lateMs;

	private long lateNanos = System.nanoTime();

	private boolean hasFreePlaces;

	/**
	 * Creates a sender that sends nothing yet.
	 * @param address address of the engine, as targets are listed
	 * @param region region of this machine
	 */
	LoadSender(String address, String region) {
		this.address = address;
		this.region = region;
	}

	void open(EventLoop loop, String host) {
		ChannelFuture binding = new Bootstrap().group(loop)
			.channel(NioDatagramChannel.class)
			.handler(new SimpleChannelInboundHandler<DatagramPacket>() {
				@Override
				protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
					echoed(packet);
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

	private void echoed(DatagramPacket packet) {
		try {
			LoadReport echo = LoadReport.parseFrom(ByteBufUtil.getBytes(packet.content()));
			long now = System.nanoTime();
			this.delay.recordEcho(echo.getProbe(), now);
			if (echo.getLateMs() >= lateMs(now)) {
				this.lateMs = echo.getLateMs();
				this.lateNanos = now;
			}
		}
		catch (InvalidProtocolBufferException ex) {
			logger.atInfo().log("dropping a datagram from %s: %s", packet.sender(), ex.getMessage());
		}
	}

	// Requests that are late at an engine with free places are late on their way.
	private double lateMs(long now) {
		boolean fresh = now - this.lateNanos < LATE_FRESH_NANOS;
		return (fresh && this.hasFreePlaces) ? this.lateMs : 0;
	}

	/**
	 * Sends a probe to the next entry of the own region, or of any region if those don't
	 * answer.
	 * @param entries all entries
	 */
	void probe(List<EntryRecord> entries) {
		Channel open = this.channel;
		List<EntryRecord> near = entries.stream().filter((entry) -> entry.region().equals(this.region)).toList();
		List<EntryRecord> asked = (near.isEmpty() || this.delay.peersUnresponsive()) ? entries : near;
		if (open == null || asked.isEmpty()) {
			return;
		}
		this.probed++;
		EntryRecord entry = asked.get(Math.floorMod(this.probed, asked.size()));
		byte[] bytes = LoadReport.newBuilder()
			.setAddress(this.address)
			.setProbe(this.delay.recordSent(System.nanoTime()))
			.build()
			.toByteArray();
		open.writeAndFlush(datagram(bytes, entry));
	}

	/**
	 * Returns for how long bytes wait at the link of this machine: as probes show it, or
	 * the requests of entries.
	 * @return time in ms
	 */
	double delayMs() {
		long now = System.nanoTime();
		return Math.max(this.delay.delayMs(now), lateMs(now));
	}

	/**
	 * Returns when the newest probe that came back was sent.
	 * @return monotonic time; the present one as long as there is nobody to probe
	 */
	long confirmedNanos() {
		return (this.probed == 0) ? System.nanoTime() : this.delay.lastEchoedSentNanos();
	}

	private static DatagramPacket datagram(byte[] bytes, EntryRecord entry) {
		return new DatagramPacket(Unpooled.wrappedBuffer(bytes), new InetSocketAddress(entry.host(), entry.port()));
	}

	/**
	 * Tells the load if it is worth telling.
	 * @param entries all entries
	 * @param running requests that run
	 * @param waiting requests that wait
	 * @param accepts whether the engine starts new requests
	 * @param slots requests that the engine runs at once, 0 if that is not known
	 */
	void tell(List<EntryRecord> entries, int running, int waiting, boolean accepts, int slots) {
		Channel open = this.channel;
		long now = System.nanoTime();
		int requests = running + waiting;
		this.hasFreePlaces = requests < slots * FREE_SHARE;
		double delayMs = this.delay.delayMs(now);
		double late = lateMs(now);
		boolean changed = Math.abs(requests - this.toldRequests) >= LEAST_CHANGE || accepts != this.toldAccepts
				|| Math.abs(Math.max(delayMs, late) - this.toldDelayMs) >= LEAST_DELAY_CHANGE_MS;
		if (open == null || (!changed && now - this.toldNanos < LONGEST_PAUSE_NANOS)) {
			return;
		}
		this.toldRequests = requests;
		this.toldAccepts = accepts;
		this.toldDelayMs = Math.max(delayMs, late);
		this.toldNanos = now;
		byte[] bytes = LoadReport.newBuilder()
			.setAddress(this.address)
			.setSequence(++this.sequence)
			.setLinkDelayMs((int) Math.round(delayMs))
			.setLateMs((int) Math.round(late))
			.setLoad(Load.newBuilder()
				.setRunning(running)
				.setQueued(waiting)
				.setAdmission((accepts) ? Admission.OPEN : Admission.SWITCHING))
			.build()
			.toByteArray();
		for (EntryRecord entry : entries) {
			open.write(datagram(bytes, entry));
		}
		open.flush();
	}

}
