package org.baobabknot.agent;

import java.util.List;
import java.util.Map;

import com.google.protobuf.ByteString;
import org.baobabknot.protocol.generated.BodyEnd;
import org.baobabknot.protocol.generated.Failed;
import org.baobabknot.protocol.generated.Frame;
import org.baobabknot.protocol.generated.Header;
import org.baobabknot.protocol.generated.Load;
import org.baobabknot.protocol.generated.Refused;
import org.baobabknot.protocol.generated.ResponseStart;
import org.baobabknot.record.StoredResponse;

/**
 * Builds the frames of responses, refusals and failures.
 */
final class ResponseFrames {

	private ResponseFrames() {
	}

	static Frame.Builder refused(Refusal refusal, Load load) {
		return Frame.newBuilder()
			.setRefused(Refused.newBuilder()
				.setReason(refusal.reason())
				.setRetryAfterMs(refusal.retryAfterMs())
				.setDetail(refusal.detail())
				.setLoad(load));
	}

	static Frame.Builder failed(String step, String peer, String detail, boolean outcomeUnknown) {
		return Frame.newBuilder()
			.setFailed(Failed.newBuilder().setStep(step).setPeer(peer).setDetail(detail).setUnknown(outcomeUnknown));
	}

	static ResponseStart.Builder start(int status, List<Map.Entry<String, String>> headers, String version,
			String digest) {
		ResponseStart.Builder start = ResponseStart.newBuilder()
			.setStatus(status)
			.setVersion(version)
			.setDigest(digest);
		headers.forEach(
				(header) -> start.addHeaders(Header.newBuilder().setName(header.getKey()).setValue(header.getValue())));
		return start;
	}

	static Frame.Builder end(long length) {
		return Frame.newBuilder().setBodyEnd(BodyEnd.newBuilder().setLength(length));
	}

	/**
	 * Sends a recorded response.
	 * @param result the response; a missing body is sent as an empty one
	 * @param load current load of the target
	 * @param stream stream to which the frames are sent
	 */
	static void replay(StoredResponse result, Load load, org.baobabknot.protocol.Stream stream) {
		byte[] body = (result.body() != null) ? result.body() : new byte[0];
		stream.send(Frame.newBuilder()
			.setResponseStart(start(result.status(), result.headers(), result.version(), result.digest()).setLoad(load)
				.setReplayed(true)));
		if (body.length > 0) {
			stream.sendBody(ByteString.copyFrom(body));
		}
		stream.send(end(body.length));
	}

}
