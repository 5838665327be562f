package org.baobabknot.soak;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

import org.baobabknot.emulator.CallerExchange;
import org.baobabknot.emulator.CallerExchange.End;
import org.baobabknot.emulator.EmulatedEngine;

/**
 * Checks that callers get the bytes that targets have sent for their requests, and that
 * targets get what callers have sent.
 */
final class AnswerChecks {

	private final TargetRecords targets;

	private final Consumer<SoakViolation> violations;

	AnswerChecks(TargetRecords targets, Consumer<SoakViolation> violations) {
		this.targets = targets;
		this.violations = violations;
	}

	void check(SoakRequest request) {
		CallerExchange exchange = request.exchange();
		if (exchange.end() == End.MALFORMED) {
			report(request, "got bytes that are no response");
		}
		if (!exchange.responseId().equals(request.message().id()) && !exchange.responseId().isEmpty()) {
			report(request, "got the response to " + exchange.responseId());
		}
		if (request.isSuccess()) {
			checkSuccess(request);
		}
		else if (!exchange.signature().isEmpty()
				&& !this.targets.answeredWith(request.message().id(), request.status())) {
			report(request, "got a signed " + request.status() + " that no target sent");
		}
	}

	private void checkSuccess(SoakRequest request) {
		if (!request.hasId()) {
			report(request, "sent no id and got " + request.status());
		}
		else if (!request.exchange().signature().endsWith("-" + request.id())) {
			report(request, "got a success with the signature '" + request.exchange().signature() + "'");
		}
		else if (!this.targets.answeredWith(request.id(), request.status())) {
			report(request, "got " + request.status() + ", which no target sent");
		}
		if (request.hasId() && !request.isRight()) {
			report(request, "got another body that " + ((request.complete()) ? "looks complete: " : "is broken off: ")
					+ SoakViolation.shorten(request.exchange().body()));
		}
	}

	private void report(SoakRequest request, String text) {
		this.violations.accept(new SoakViolation("MIXED: " + request.describe() + " " + text, request));
	}

	/**
	 * Checks that targets ran only what callers sent, as they sent it.
	 * @param requests all requests
	 * @param engines all targets
	 */
	void checkTargets(Iterable<SoakRequest> requests, Iterable<EmulatedEngine> engines) {
		Map<String, SoakRequest> sent = new HashMap<>();
		requests.forEach((request) -> sent.put(request.message().id(), request));
		sent.remove("");
		this.targets.startedIds()
			.stream()
			.filter((id) -> !sent.containsKey(id))
			.forEach((id) -> this.violations
				.accept(new SoakViolation("UNASKED: a target ran '" + id + "', which no caller sent")));
		for (EmulatedEngine engine : engines) {
			for (EmulatedEngine.ReceivedRequest received : engine.receivedRequests()) {
				SoakRequest request = sent.get(received.requestId());
				if (request != null && !(received.body().equals(request.message().body())
						&& received.uri().equals(request.message().path()))) {
					this.violations.accept(new SoakViolation("UNASKED: " + engine.id() + " got " + request.describe()
							+ " changed: " + received.uri() + " " + SoakViolation.shorten(received.body()), request));
				}
			}
		}
	}

}
