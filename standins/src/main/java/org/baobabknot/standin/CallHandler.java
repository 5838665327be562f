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
 * Turns the messages of one connection into calls, applies the faults that concern every
 * stand-in, and serves the control paths {@code /fault} and {@code /record}.
 */
final class CallHandler extends ChannelInboundHandlerAdapter {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private final StandinServer server;

	private final Deque<HttpObject> waiting = new ArrayDeque<>();

	private boolean holding;

	private long arrivedMillis;

	private boolean control;

	private @Nullable ChannelHandlerContext context;

	private @Nullable Call call;

	private @Nullable BodySink sink;

	CallHandler(StandinServer server) {
		this.server = server;
	}

	boolean inControlCall() {
		return this.control;
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
			this.waiting.add(part);
			return;
		}
		if (part instanceof HttpRequest) {
			this.arrivedMillis = System.currentTimeMillis();
		}
		if (part instanceof HttpRequest request && !isControl(request)) {
			long delay = this.server.faults().find("slow").map((fault) -> fault.path("ms").asLong(0)).orElse(0L);
			boolean frozen = this.server.faults().isOn("freeze");
			if (frozen || delay > 0) {
				this.holding = true;
				this.waiting.add(part);
				if (frozen) {
					this.server.hold(this);
				}
				else {
					ctx.executor().schedule(this::release, delay, TimeUnit.MILLISECONDS);
				}
				return;
			}
		}
		handle(part);
	}

	/**
	 * Handles what was held back.
	 */
	void release() {
		this.holding = false;
		HttpObject part = this.waiting.poll();
		while (part != null) {
			handle(part);
			part = this.waiting.poll();
		}
	}

	private void handle(HttpObject part) {
		try {
			if (part instanceof HttpRequest request) {
				start(request);
			}
			if (part instanceof HttpContent content && this.sink != null) {
				if (content.content().isReadable()) {
					this.sink.part(content.content());
				}
				if (content instanceof LastHttpContent) {
					this.sink.end();
				}
			}
		}
		catch (IllegalArgumentException ex) {
			if (this.call != null) {
				this.call.refuse(400, String.valueOf(ex.getMessage()));
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

	private void start(HttpRequest request) {
		if (this.context == null) {
			return;
		}
		Call started = new Call(this.context.channel(), request, this.arrivedMillis);
		this.call = started;
		this.control = isControl(request);
		if (this.control) {
			this.sink = BodySink.whole((body) -> control(started, body));
		}
		else if (this.server.faults().isOn("outage")) {
			this.sink = BodySink.ignore(() -> outage(started));
		}
		else {
			this.sink = this.server.standin().open(started);
		}
	}

	private void outage(Call refused) {
		boolean drop = this.server.faults().find("outage").map((fault) -> fault.path("drop").asBoolean()).orElse(false);
		if (drop) {
			refused.drop();
		}
		else {
			refused.refuse(503, "outage");
		}
	}

	private void control(Call asked, byte[] body) {
		switch (asked.method() + " " + asked.path()) {
			case "GET /record" -> asked.answer(200, this.server.standin().record());
			case "GET /fault" -> asked.answer(200, this.server.faults().list());
			case "DELETE /fault" -> {
				this.server.clearFaults(asked.parameter("kind"));
				asked.answer(200, this.server.faults().list());
			}
			case "POST /fault" -> {
				this.server.fault(parse(body));
				asked.answer(200, this.server.faults().list());
			}
			default -> asked.refuse(404, "expected GET /record, GET, POST or DELETE /fault");
		}
		this.control = false;
	}

	/**
	 * Reads a body that must be a JSON object.
	 * @param body the body
	 * @return the object
	 * @throws IllegalArgumentException when it is not one
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
		this.server.forget(this);
		this.waiting.forEach(ReferenceCountUtil::release);
		this.waiting.clear();
		if (this.call != null) {
			this.call.connectionClosed();
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		ctx.close();
	}

}
