package org.baobabknot.gateway;

import org.baobabknot.emulator.EmulatedCaller;
import org.baobabknot.emulator.EmulatedEngine;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

/**
 * Tests that a status which promises that a request has not run reaches the caller only
 * if no other target can have run it.
 */
class PromisedStatusTests {

	private static final long PAUSE_MS = 1_000;

	private final GatewayFixture fixture = new GatewayFixture();

	private final EmulatedEngine first = this.fixture.addEngine("t1", "plain", "a", "");

	@AfterEach
	void stop() {
		this.fixture.close();
	}

	private EmulatedCaller.Response callBeside(int status) throws Exception {
		EmulatedEngine second = this.fixture.addEngine("t2", "plain", "b", "");
		second.status = status;
		this.fixture.start();
		EmulatedCaller.Response response = this.fixture.call("GET", "/reads/x", "r1", "");
		assertThat(this.first.receivedRequests(), hasSize(1));
		assertThat(second.receivedRequests(), hasSize(1));
		return response;
	}

	@ParameterizedTest
	@ValueSource(ints = { 408, 421, 425, 429, 503 })
	void isNoAnswerWhileAnotherAttemptIsOpen(int status) throws Exception {
		this.first.firstByteDelayMs = PAUSE_MS;
		EmulatedCaller.Response response = callBeside(status);
		assertThat(response.status(), is(200));
		assertThat(response.body(), is("answer to r1"));
	}

	@ParameterizedTest
	@ValueSource(ints = { 408, 421, 429, 503 })
	void isUnknownOutcomeAfterAnAttemptThatMayHaveRun(int status) throws Exception {
		this.first.resetBeforeResponse = true;
		assertThat(callBeside(status).status(), is(502));
	}

	@ParameterizedTest
	@ValueSource(ints = { 408, 429, 500, 503 })
	void isPassedOnFromTheOnlyTarget(int status) throws Exception {
		this.first.status = status;
		this.fixture.start();
		EmulatedCaller.Response response = this.fixture.call("GET", "/reads/x", "r1", "");
		assertThat(response.status(), is(status));
		assertThat(response.signature(), is("seal-t1-r1"));
	}

	@Test
	void isPassedOnFromATargetThatWasOnlySilent() throws Exception {
		this.first.firstByteDelayMs = PAUSE_MS;
		this.first.status = 429;
		EmulatedEngine second = this.fixture.addEngine("t2", "plain", "b", "");
		second.refusesRequests = true;
		this.fixture.start();
		assertThat(this.fixture.call("GET", "/reads/x", "r1", "").status(), is(429));
		assertThat(second.receivedRequests(), hasSize(1));
	}

}
