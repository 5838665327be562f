package org.baobabknot.standin;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.jspecify.annotations.Nullable;

/**
 * Decodes the HTTP messages of one connection into calls, applies the faults that every
 * stand-in has, and serves the control paths {@code /fault} and {@code /record}.
 */
final class CallHandler extends ChannelInboundHandlerAdapter {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private final StandinServer server;

	private final Deque<HttpObject> heldMessages = new ArrayDeque<>();

	private boolean holding;

	private long arrivedMillis;

	private boolean handlingControlCall;

	private @Nullable ChannelHandlerContext context;

	private @Nullable Call call;

	private @Nullable BodySink sink;

	CallHandler(StandinServer server) {
		this.server = server;
	}

	boolean isHandlingControlCall() {
		return this.handlingControlCall;
	}

	@Override
	public void channelActive(ChannelHandlerContext ctx) {
		this.context = ctx;
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object message) {
		if (!(message instanceof HttpObject part) || part.decoderResult().isFailure()) {
			ReferenceCountUtil.release(message);
			ctx.close();
			return;
		}
		if (this.holding) {
			this.heldMessages.add(part);
			return;
		}
		if (part instanceof HttpRequest) {
			this.arrivedMillis = System.currentTimeMillis();
		}
		if (part instanceof HttpRequest request && !isControl(request)) {
			long delay = this.server.faults().find("slow").map((fault) -> fault.path("ms").asLong(0)).orElse(0L);
			boolean frozen = this.server.faults().isActive("freeze");
			if (frozen || delay > 0) {
				this.holding = true;
				this.heldMessages.add(part);
				if (frozen) {
					this.server.addFrozenHandler(this);
				}
				else {
					ctx.executor().schedule(this::releaseHeldMessages, delay, TimeUnit.MILLISECONDS);
				}
				return;
			}
		}
		handle(part);
	}

	/**
	 * Handles the messages that a {@code freeze} or {@code slow} fault delayed.
	 */
	void releaseHeldMessages() {
		this.holding = false;
		HttpObject part = this.heldMessages.poll();
		while (part != null) {
			handle(part);
			part = this.heldMessages.poll();
		}
	}

	private void handle(HttpObject part) {
		try {
			if (part instanceof HttpRequest request) {
				startCall(request);
			}
			if (part instanceof HttpContent content && this.sink != null) {
				if (content.content().isReadable()) {
					this.sink.onPart(content.content());
				}
				if (content instanceof LastHttpContent) {
					this.sink.onEnd();
				}
			}
		}
		catch (IllegalArgumentException ex) {
			if (this.call != null) {
				this.call.respondWithError(400, String.valueOf(ex.getMessage()));
			}
			this.sink = null;
		}
		finally {
			ReferenceCountUtil.release(part);
		}
	}

	private static boolean isControl(HttpRequest request) {
		return request.uri().startsWith("/fault") || request.uri().equals("/record");
	}

	private void startCall(HttpRequest request) {
		if (this.context == null) {
			return;
		}
		Call newCall = new Call(this.context.channel(), request, this.arrivedMillis);
		this.call = newCall;
		this.handlingControlCall = isControl(request);
		if (this.handlingControlCall) {
			this.sink = BodySink.collecting((body) -> handleControlCall(newCall, body));
		}
		else if (this.server.faults().isActive("outage")) {
			this.sink = BodySink.ignoring(() -> respondWithOutage(newCall));
		}
		else {
			this.sink = this.server.standin().handleCall(newCall);
		}
	}

	private void respondWithOutage(Call refusedCall) {
		boolean drop = this.server.faults().find("outage").map((fault) -> fault.path("drop").asBoolean()).orElse(false);
		if (drop) {
			refusedCall.closeConnection();
		}
		else {
			refusedCall.respondWithError(503, "outage");
		}
	}

	private void handleControlCall(Call controlCall, byte[] body) {
		switch (controlCall.method() + " " + controlCall.path()) {
			case "GET /record" -> controlCall.respond(200, this.server.standin().record());
			case "GET /fault" -> controlCall.respond(200, this.server.faults().toJson());
			case "DELETE /fault" -> {
				this.server.clearFaults(controlCall.parameter("kind"));
				controlCall.respond(200, this.server.faults().toJson());
			}
			case "POST /fault" -> {
				this.server.activateFault(parse(body));
				controlCall.respond(200, this.server.faults().toJson());
			}
			default -> controlCall.respondWithError(404, "expected GET /record, GET, POST or DELETE /fault");
		}
		this.handlingControlCall = false;
	}

	/**
	 * Parses a body that must be a JSON object.
	 * @param body the body
	 * @return the object
	 * @throws IllegalArgumentException when the body is not a JSON object
	 */
	static ObjectNode parse(byte[] body) {
		try {
			if (MAPPER.readTree(body) instanceof ObjectNode object) {
				return object;
			}
		}
		catch (IOException ex) {
			throw new IllegalArgumentException("body: " + ex.getMessage(), ex);
		}
		throw new IllegalArgumentException("body: expected a JSON object");
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		this.server.removeFrozenHandler(this);
		this.heldMessages.forEach(ReferenceCountUtil::release);
		this.heldMessages.clear();
		if (this.call != null) {
			this.call.connectionClosed();
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		ctx.close();
	}

}
