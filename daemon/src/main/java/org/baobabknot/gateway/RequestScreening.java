package org.baobabknot.gateway;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.baobabknot.quarantine.RequestVerdict;
import org.baobabknot.quarantine.Trial;
import org.jspecify.annotations.Nullable;

/**
 * What the guard has to know about one request, and what it decides on it: its traits,
 * its trial, and the crashes of its targets. Confined to one event loop.
 */
final class RequestScreening {

	/**
	 * Time from the first event of a suspected request after which the next one with the
	 * same traits may run, although the response is not whole.
	 */
	private static final long TRIAL_ANSWER_MS = 300;

	private final RequestGuard guard;

	private final EventLoop loop;

	private final RequestTraits requestTraits;

	private final List<Long> traits;

	private @Nullable Trial trial;

	RequestScreening(RequestGuard guard, EventLoop loop, RequestTraits requestTraits) {
		this.guard = guard;
		this.loop = loop;
		this.requestTraits = requestTraits;
		this.traits = requestTraits.all();
	}

	/**
	 * Returns hashes of what targets receive of suspected requests.
	 * @return the content of this request if it runs as a trial, else the traits of those
	 * that are sent again now, their contents among them
	 */
	Collection<Long> suspectedContents() {
		return (onTrial()) ? List.of(this.requestTraits.content()) : this.guard.repeatedTraits();
	}

	/**
	 * Returns whether the request has one of some traits.
	 * @param candidates the traits
	 * @return whether it has
	 */
	boolean hasAny(Collection<Long> candidates) {
		return candidates.stream().anyMatch(this.traits::contains);
	}

	boolean isQuarantined() {
		return this.guard.verdict(this.traits) == RequestVerdict.QUARANTINED;
	}

	/**
	 * Returns whether the request is suspected and runs as a trial.
	 * @return whether it does
	 */
	boolean onTrial() {
		return this.trial != null;
	}

	/**
	 * Decides whether the next attempt may start.
	 * @param outcome receives the decision, at once or later
	 */
	void admit(RequestGuard.Outcome outcome) {
		this.guard.admit(this.traits, new RequestGuard.Outcome() {
			@Override
			public void admitted(Optional<Trial> admittedTrial) {
				RequestScreening.this.trial = admittedTrial.orElse(null);
				outcome.admitted(admittedTrial);
			}

			@Override
			public void postponed() {
				outcome.postponed();
			}

			@Override
			public void held() {
				outcome.held();
			}
		});
	}

	/**
	 * Called when the target has written the first event of an attempt.
	 */
	void answerStarted() {
		Trial answeredTrial = this.trial;
		if (answeredTrial != null) {
			this.loop.schedule(() -> release(answeredTrial), TRIAL_ANSWER_MS, TimeUnit.MILLISECONDS);
		}
	}

	/**
	 * Called when one target has run the whole request and its response is whole.
	 */
	void served() {
		this.guard.recordServed(this.traits);
	}

	/**
	 * Ends the trial of the request, if it has one.
	 */
	void release() {
		Trial heldTrial = this.trial;
		if (heldTrial != null) {
			release(heldTrial);
		}
	}

	private void release(Trial heldTrial) {
		if (this.trial == heldTrial) {
			this.trial = null;
			this.guard.release(heldTrial);
		}
	}

	/**
	 * Finds out whether the target of a lost connection has crashed, and decides whether
	 * the request is sent again by this process.
	 * @param attempt the attempt
	 * @param retry continues with another target, if the request may run
	 * @param giveUp leaves the next attempt to the caller
	 */
	void connectionLost(TargetAttempt attempt, Runnable retry, Runnable giveUp) {
		// One crash in the middle of a response does not make a request suspected, so the
		// stream goes on before the crash is certain, but not where what may have caused
		// it is sent, which the other entries report in this time.
		boolean continues = attempt.written() && !this.guard.hasEvidence(this.traits);
		checkCrash(attempt, () -> {
			if (!continues) {
				crashChecked(retry, giveUp);
			}
		});
		if (continues) {
			this.loop.schedule(retry, RequestGuard.ROUND_TRIP_MS, TimeUnit.MILLISECONDS);
		}
	}

	/**
	 * Finds out whether the target of a lost connection has crashed, while the request
	 * goes on at another target.
	 * @param attempt the attempt
	 */
	void connectionLostBesideAnother(TargetAttempt attempt) {
		checkCrash(attempt, () -> {
		});
	}

	private void checkCrash(TargetAttempt attempt, Runnable next) {
		attempt.pooledTarget().crashProbe().hasCrashed().thenAccept((crashed) -> {
			if (crashed) {
				this.guard.recordCrash(attempt.target(), this.traits, attempt.written());
			}
			next.run();
		});
	}

	private void crashChecked(Runnable retry, Runnable giveUp) {
		release();
		if (!isPartSuspected()) {
			retry.run();
			return;
		}
		// Another entry may know a part to be harmless. If not, a part that several
		// requests have is more likely to be the cause than the rest of one.
		this.loop.schedule(() -> {
			if (isPartSuspected() && !isQuarantined()) {
				giveUp.run();
			}
			else {
				retry.run();
			}
		}, RequestGuard.ROUND_TRIP_MS, TimeUnit.MILLISECONDS);
	}

	private boolean isPartSuspected() {
		return !this.guard.suspectedTraits(this.requestTraits.sharedParts()).isEmpty();
	}

}
