package org.baobabknot.command;

import java.io.File;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import javax.net.ssl.SSLException;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import org.baobabknot.protocol.ConnectResult;
import org.baobabknot.protocol.Connection;
import org.baobabknot.protocol.ConnectionFailure;
import org.baobabknot.protocol.ConnectionListener;
import org.baobabknot.protocol.ConnectionSettings;
import org.baobabknot.protocol.Connector;
import org.baobabknot.protocol.FrameHandler;
import org.baobabknot.protocol.ProtocolCounters;
import org.baobabknot.protocol.Stream;
import org.baobabknot.protocol.generated.Frame;
import org.baobabknot.protocol.generated.Member;
import org.baobabknot.protocol.generated.MemberState;
import org.baobabknot.protocol.generated.MembersPull;
import org.baobabknot.protocol.generated.RulesValue;
import org.baobabknot.protocol.generated.StatusPull;
import org.baobabknot.protocol.generated.StatusValue;
import org.jspecify.annotations.Nullable;

/**
 * Sends requests to the processes of the fleet with the operator's credentials.
 * Connections are reused until the tool ends.
 */
final class FleetClient implements AutoCloseable {

	private final Connector connector;

	private final List<InetSocketAddress> entries;

	private final long timeoutMillis;

	private final Map<String, CompletableFuture<ConnectResult>> connections = new ConcurrentHashMap<>();

	private FleetClient(Connector connector, List<InetSocketAddress> entries, long timeoutMillis) {
		this.connector = connector;
		this.entries = entries;
		this.timeoutMillis = timeoutMillis;
	}

	static FleetClient create(ToolSettings settings, EventLoopGroup group) throws CommandFailure {
		Connector connector = new Connector(group, ConnectionSettings.defaults(), new OperatorState(settings.token()),
				tls(settings.tls()), new ProtocolCounters());
		return new FleetClient(connector, settings.addresses(), settings.timeoutMillis());
	}

	private static @Nullable SslContext tls(ToolSettings.@Nullable TlsFiles files) throws CommandFailure {
		if (files == null) {
			return null;
		}
		try {
			return SslContextBuilder.forClient()
				.keyManager(new File(files.certificate()), new File(files.key()))
				.trustManager(new File(files.authorities()))
				.clientAuth(ClientAuth.REQUIRE)
				.endpointIdentificationAlgorithm("")
				.build();
		}
		catch (SSLException | IllegalArgumentException ex) {
			throw new CommandFailure(ExitStatus.USAGE, "settings: tls: " + ex.getMessage());
		}
	}

	/**
	 * Returns the member list of the first process in the settings that has members.
	 * @return live and leaving members
	 * @throws CommandFailure when no process returns a member list
	 */
	List<Member> members() throws CommandFailure {
		String lastFailure = "settings: processes is empty";
		for (InetSocketAddress entry : this.entries) {
			Frame.Builder pull = Frame.newBuilder().setMembersPull(MembersPull.getDefaultInstance());
			Response response = request(entry.getHostString(), entry.getPort(), pull, Frame::hasMembersValue).join();
			if (response.frame() == null) {
				lastFailure = response.failure();
				continue;
			}
			List<Member> members = response.frame()
				.getMembersValue()
				.getMembersList()
				.stream()
				.filter((member) -> member.getState() != MemberState.GONE)
				.toList();
			if (!members.isEmpty()) {
				return members;
			}
			lastFailure = entry + " knows no members yet";
		}
		throw new CommandFailure(ExitStatus.UNREACHABLE, "no process has a member list: " + lastFailure);
	}

	/**
	 * Requests the status of several processes concurrently.
	 * @param members the processes
	 * @return one result for each process, in the same order
	 */
	List<MemberStatus> statuses(List<Member> members) {
		List<CompletableFuture<Response>> responses = new ArrayList<>();
		for (Member member : members) {
			Frame.Builder pull = Frame.newBuilder().setStatusPull(StatusPull.getDefaultInstance());
			responses.add(request(member, pull, Frame::hasStatusValue));
		}
		List<MemberStatus> memberStatuses = new ArrayList<>();
		for (int i = 0; i < members.size(); i++) {
			Response response = responses.get(i).join();
			Optional<StatusValue> status = Optional.ofNullable(response.frame()).map(Frame::getStatusValue);
			memberStatuses.add(new MemberStatus(members.get(i), status, response.failure()));
		}
		return memberStatuses;
	}

	/**
	 * Returns the highest revision of the rules that is in force in the entries of the
	 * settings.
	 * @return the revision, nothing if no entry responds
	 */
	OptionalLong highestRevision() {
		List<CompletableFuture<Response>> responses = new ArrayList<>();
		for (InetSocketAddress entry : this.entries) {
			Frame.Builder pull = Frame.newBuilder().setStatusPull(StatusPull.getDefaultInstance());
			responses.add(request(entry.getHostString(), entry.getPort(), pull, Frame::hasStatusValue));
		}
		return responses.stream()
			.map((response) -> response.join().frame())
			.filter(Objects::nonNull)
			.mapToLong((frame) -> frame.getStatusValue().getRulesRevision())
			.max();
	}

	/**
	 * Pushes accepted rules to the entries in the settings.
	 * @param rules the state in the store
	 * @return the number of entries that confirm this or a higher revision in force
	 */
	int push(StoredRules rules) {
		RulesValue value = RulesValue.newBuilder()
			.setRevision(rules.revision())
			.setValue(ByteString.copyFrom(rules.toBytes()))
			.build();
		List<CompletableFuture<Response>> responses = new ArrayList<>();
		for (InetSocketAddress entry : this.entries) {
			responses.add(request(entry.getHostString(), entry.getPort(), Frame.newBuilder().setRulesValue(value),
					Frame::hasRulesValue));
		}
		return (int) responses.stream()
			.map(CompletableFuture::join)
			.filter((answer) -> answer.frame() != null
					&& answer.frame().getRulesValue().getRevision() >= rules.revision())
			.count();
	}

	/**
	 * Sends a request to a member.
	 * @param member the process
	 * @param first the first frame
	 * @param expected accepts the frame that is a valid response
	 * @return the response or the failure
	 */
	CompletableFuture<Response> request(Member member, Frame.Builder first, Predicate<Frame> expected) {
		return request(member.getHost(), member.getPort(), first, expected);
	}

	private CompletableFuture<Response> request(String host, int port, Frame.Builder first, Predicate<Frame> expected) {
		String peer = host + ":" + port;
		return connection(host, port).thenCompose((result) -> {
			if (result instanceof ConnectResult.Connected connected) {
				return exchange(connected.connection(), first, expected);
			}
			ConnectionFailure failure = ((ConnectResult.NotConnected) result).failure();
			return CompletableFuture.completedFuture(new Response(null, failure.toString()));
		})
			.completeOnTimeout(new Response(null, "no answer from " + peer + " within " + this.timeoutMillis + " ms"),
					this.timeoutMillis, TimeUnit.MILLISECONDS);
	}

	private static CompletableFuture<Response> exchange(Connection connection, Frame.Builder first,
			Predicate<Frame> expected) {
		CompletableFuture<Response> answer = new CompletableFuture<>();
		connection.open(first, new FrameHandler() {

			@Override
			public void onFrame(Stream stream, Frame frame) {
				if (expected.test(frame)) {
					answer.complete(new Response(frame, ""));
				}
				else {
					answer.complete(new Response(null,
							connection.peerName() + " answered " + frame.getBodyCase() + " instead"));
				}
				stream.close();
			}

			@Override
			public void onConnectionLost(Stream stream, ConnectionFailure failure) {
				answer.complete(new Response(null, failure.toString()));
			}

		});
		return answer;
	}

	private CompletableFuture<ConnectResult> connection(String host, int port) {
		return this.connections.compute(host + ":" + port,
				(key, open) -> isUsable(open) ? open : this.connector.connect(host, port, new ConnectionListener() {
				}));
	}

	// A failed connection is opened again, because a busy process may miss a handshake
	// and be reachable shortly afterwards.
	private static boolean isUsable(@Nullable CompletableFuture<ConnectResult> pending) {
		if (pending == null || !pending.isDone()) {
			return pending != null;
		}
		return pending.join() instanceof ConnectResult.Connected connected && connected.connection().isOpen();
	}

	@Override
	public void close() {
		for (CompletableFuture<ConnectResult> open : this.connections.values()) {
			open.thenAccept((result) -> {
				if (result instanceof ConnectResult.Connected connected) {
					connected.connection().close(new ConnectionFailure("close", "operator", "done"));
				}
			});
		}
	}

	/**
	 * Response of a process.
	 *
	 * @param frame the response, {@code null} on failure
	 * @param failure step, peer and cause; empty on success
	 */
	record Response(@Nullable Frame frame, String failure) {
	}

	/**
	 * Status of a member.
	 *
	 * @param member the member
	 * @param status its status, empty when the request failed
	 * @param failure step, peer and cause of the failure; empty on success
	 */
	record MemberStatus(Member member, Optional<StatusValue> status, String failure) {
	}

}
