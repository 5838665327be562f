package org.baobabknot.gateway;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.baobabknot.emulator.TestPorts;
import org.baobabknot.fleet.EntryRecord;
import org.baobabknot.protocol.generated.Load;
import org.baobabknot.protocol.generated.LoadReport;
import org.baobabknot.protocol.generated.PartReport;
import org.baobabknot.protocol.generated.PermitMessage;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests of {@link LoadReceiver} with datagrams on loopback.
 */
class LoadReceiverTests {

	private static final int REPORTS = 30;

	private static final int MAX_PACKET_BYTES = 1_400;

	private static final int SILENCE_MS = 400;

	private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final List<String> reported = new ArrayList<>();

	private final int port = TestPorts.findFree();

	private DatagramSocket other;

	@BeforeEach
	void bind() throws Exception {
		this.other = new DatagramSocket(0, InetAddress.getLoopbackAddress());
		this.other.setSoTimeout(SILENCE_MS);
		EntryRecord otherEntry = new EntryRecord("other", "r", "127.0.0.1", this.other.getLocalPort());
		new LoadReceiver(new LoadReceiver.Listener() {
			@Override
			public void loadReported(String address, int requests, boolean acceptsRequests, int linkDelayMs,
					int lateMs) {
				LoadReceiverTests.this.reported.add(address + " " + requests);
			}

			@Override
			public double lateMs(String address) {
				return 0;
			}

			@Override
			public void partsReported(PartReport report, Consumer<PartReport> reply) {
				throw new AssertionError("no report about parts is sent");
			}

			@Override
			public void permitsReported(PermitMessage message, Consumer<PermitMessage> reply) {
				throw new AssertionError("no message about limits was sent");
			}
		}, () -> List.of(otherEntry)).bind(this.group.next(), "127.0.0.1", this.port).get(5, TimeUnit.SECONDS);
	}

	@AfterEach
	void close() {
		this.other.close();
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
	}

	private static LoadReport report(int target, long sequence, boolean passOn) {
		return LoadReport.newBuilder()
			.setAddress("10.200.100." + target + ":50000")
			.setSequence(sequence)
			.setLoad(Load.newBuilder().setRunning(target))
			.setPassOn(passOn)
			.build();
	}

	private void send(LoadReport report) throws IOException {
		byte[] bytes = report.toByteArray();
		this.other.send(new DatagramPacket(bytes, bytes.length, InetAddress.getLoopbackAddress(), this.port));
	}

	private List<byte[]> receiveAll() throws IOException {
		List<byte[]> datagrams = new ArrayList<>();
		while (true) {
			DatagramPacket packet = new DatagramPacket(new byte[64 << 10], 64 << 10);
			try {
				this.other.receive(packet);
				datagrams.add(Arrays.copyOf(packet.getData(), packet.getLength()));
			}
			catch (SocketTimeoutException ex) {
				return datagrams;
			}
		}
	}

	private List<String> reported() throws Exception {
		return this.group.next().submit(() -> List.copyOf(this.reported)).get();
	}

	/**
	 * A report with values beyond the range of a signed number made a target look idle,
	 * or less than idle, to the placement.
	 */
	@Nested
	class ImpossibleReports {

		@Test
		void areDroppedAndNotPassedOn() throws Exception {
			send(report(1, 1, true).toBuilder().setLoad(Load.newBuilder().setRunning(-5)).build());
			send(report(2, 1, true).toBuilder().setLoad(Load.newBuilder().setQueued(-5)).build());
			send(report(3, 1, true).toBuilder().setLinkDelayMs(-1).build());
			send(report(4, 1, true).toBuilder().setLateMs(-1).build());
			assertThat(receiveAll(), hasSize(0));
			assertThat(reported(), hasSize(0));
		}

		@Test
		void doNotHideTheNextReport() throws Exception {
			send(report(1, 9, false).toBuilder().setLateMs(-1).build());
			send(report(1, 2, false));
			receiveAll();
			assertThat(reported(), is(List.of("10.200.100.1:50000 1")));
		}

	}

	@Nested
	class Relay {

		@Test
		void passesTheReportsOfManyLoadersOnInAFewPackets() throws Exception {
			for (int target = 0; target < REPORTS; target++) {
				send(report(target, 1, true));
			}
			List<byte[]> datagrams = receiveAll();
			Set<String> addresses = new HashSet<>();
			for (byte[] datagram : datagrams) {
				assertThat(datagram.length, is(lessThanOrEqualTo(MAX_PACKET_BYTES)));
				LoadReport.parseFrom(datagram)
					.getRelayedList()
					.forEach((relayed) -> addresses.add(relayed.getAddress() + relayed.getPassOn()));
			}
			assertThat(addresses, hasSize(REPORTS));
			assertThat(addresses.stream().noneMatch((address) -> address.endsWith("true")), is(true));
			assertThat(datagrams.size(), is(lessThanOrEqualTo(REPORTS / 5)));
			assertThat(reported(), hasSize(REPORTS));
		}

		@Test
		void passesNoReportOnThatWasSentToAllOrIsOld() throws Exception {
			send(report(1, 5, false));
			send(report(1, 4, true));
			assertThat(receiveAll(), hasSize(0));
			assertThat(reported(), is(List.of("10.200.100.1:50000 1")));
		}

	}

	@Nested
	class RelayedReports {

		@Test
		void areUsedOnceWhicheverRelayIsFirst() throws Exception {
			LoadReport relayed = LoadReport.newBuilder()
				.addRelayed(report(1, 7, false))
				.addRelayed(report(2, 7, false))
				.build();
			send(relayed);
			send(relayed);
			assertThat(receiveAll(), hasSize(0));
			assertThat(reported(), is(List.of("10.200.100.1:50000 1", "10.200.100.2:50000 2")));
		}

	}

}
