package org.baobabknot.standin;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;

import io.netty.buffer.ByteBuf;
import org.baobabknot.httpclient.HttpFailure;
import org.baobabknot.httpclient.ResponseHead;
import org.baobabknot.target.TargetListener;

/**
 * Collects a response as one string: the status and body, or the kind of failure.
 */
final class CollectingListener implements TargetListener {

	private final CompletableFuture<String> result = new CompletableFuture<>();

	private final StringBuilder text = new StringBuilder();

	CompletableFuture<String> result() {
		return this.result;
	}

	@Override
	public void onHead(ResponseHead head) {
		this.text.append(head.status()).append(' ');
	}

	@Override
	public void onBodyPart(ByteBuf part) {
		this.text.append(part.toString(StandardCharsets.UTF_8));
	}

	@Override
	public void onEnd() {
		this.result.complete(this.text.toString());
	}

	@Override
	public void onNotRun(HttpFailure failure) {
		this.result.complete("not run: " + failure);
	}

	@Override
	public void onFailure(HttpFailure failure) {
		this.result.complete("failed: " + failure);
	}

}
