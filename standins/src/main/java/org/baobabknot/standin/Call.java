package org.baobabknot.standin;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.QueryStringDecoder;

/**
 * One HTTP request to a stand-in, with the methods to send its response. Not thread-safe:
 * used on the event loop of the server only.
 */
public final class Call {

	private final Channel channel;

	private final HttpRequest request;

	private final QueryStringDecoder query;

	private final long arrivalMillis;

	private Runnable closeListener = () -> {
	};

	private boolean started;

	private boolean ended;

	Call(Channel channel, HttpRequest request, long arrivedMillis) {
		this.arrivalMillis = arrivedMillis;
		this.channel = channel;
		this.request = request;
		this.query = new QueryStringDecoder(request.uri());
	}

	/**
	 * Returns when the head of the request arrived, before any fault delayed it.
	 * @return wall time in milliseconds
	 */
	public long arrivalMillis() {
		return this.arrivalMillis;
	}

	/**
	 * Returns the method.
	 * @return the method in upper case
	 */
	public String method() {
		return this.request.method().name();
	}

	/**
	 * Returns the decoded path without the query.
	 * @return the path
	 */
	public String path() {
		return this.query.path();
	}

	/**
	 * Returns the segments of the path.
	 * @return decoded segments without slashes
	 */
	public List<String> segments() {
		return List.of(path().substring(1).split("/"));
	}

	/**
	 * Returns a query parameter.
	 * @param name the name
	 * @return the first value, or nothing
	 */
	public Optional<String> parameter(String name) {
		return this.query.parameters().getOrDefault(name, List.of()).stream().findFirst();
	}

	/**
	 * Returns a numeric query parameter.
	 * @param name the name
	 * @param defaultValue the value when the parameter is absent
	 * @return the number
	 * @throws IllegalArgumentException when the parameter is not a number
	 */
	public long longParameter(String name, long defaultValue) {
		return parameter(name).map(Long::parseLong).orElse(defaultValue);
	}

	/**
	 * Returns a header.
	 * @param name the name
	 * @return the value, or nothing
	 */
	public Optional<String> header(String name) {
		return Optional.ofNullable(this.request.headers().get(name));
	}

	/**
	 * Sets the listener that is called when the connection closes before the response is
	 * complete.
	 * @param listener the listener, replaces the previous one
	 */
	public void onClose(Runnable listener) {
		this.closeListener = listener;
	}

	void connectionClosed() {
		if (!this.ended) {
			this.ended = true;
			this.closeListener.run();
		}
	}

	/**
	 * Sends a JSON response.
	 * @param status the status
	 * @param body the body
	 */
	public void respond(int status, JsonNode body) {
		respond(status, "application/json", body.toString().getBytes(StandardCharsets.UTF_8), Map.of());
	}

	/**
	 * Sends an error response as JSON.
	 * @param status the status
	 * @param detail the reason, sent as the field {@code error}
	 */
	public void respondWithError(int status, String detail) {
		ObjectNode node = JsonNodeFactory.instance.objectNode();
		respond(status, node.put("error", detail));
	}

	/**
	 * Sends a response with its complete body.
	 * @param status the status
	 * @param type the content type
	 * @param body the body
	 * @param headers more headers
	 */
	public void respond(int status, String type, byte[] body, Map<String, String> headers) {
		if (this.ended || this.started) {
			return;
		}
		this.started = true;
		this.ended = true;
		DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(body));
		headers.forEach(response.headers()::set);
		response.headers().set(HttpHeaderNames.CONTENT_TYPE, type);
		HttpUtil.setContentLength(response, body.length);
		this.channel.writeAndFlush(response);
	}

	/**
	 * Sends the head of a response whose body follows in parts.
	 * @param status the status
	 * @param type the content type
	 * @param length the length of the body, negative for chunked transfer
	 * @param headers more headers
	 */
	public void startResponse(int status, String type, long length, Map<String, String> headers) {
		if (this.ended || this.started) {
			return;
		}
		this.started = true;
		HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
		headers.forEach(response.headers()::set);
		response.headers().set(HttpHeaderNames.CONTENT_TYPE, type);
		if (length < 0) {
			HttpUtil.setTransferEncodingChunked(response, true);
		}
		else {
			HttpUtil.setContentLength(response, length);
		}
		this.channel.writeAndFlush(response);
	}

	/**
	 * Sends a part of the body.
	 * @param bytes the bytes, which must not change afterwards
	 * @param offset the index of the first byte
	 * @param length the number of bytes
	 */
	public void sendBodyPart(byte[] bytes, int offset, int length) {
		if (!this.ended) {
			this.channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes, offset, length)));
		}
	}

	/**
	 * Ends the response body.
	 */
	public void endResponse() {
		if (!this.ended) {
			this.ended = true;
			this.channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
		}
	}

	/**
	 * Closes the connection, also in the middle of a response.
	 */
	public void closeConnection() {
		this.ended = true;
		this.channel.close();
	}

	/**
	 * Returns whether the response is complete or the connection has closed.
	 * @return whether nothing more can be sent
	 */
	public boolean isEnded() {
		return this.ended;
	}

	/**
	 * Returns whether the connection can send more bytes without exceeding its write
	 * buffer limit.
	 * @return whether more should be sent now
	 */
	public boolean isWritable() {
		return this.channel.isWritable();
	}

}
