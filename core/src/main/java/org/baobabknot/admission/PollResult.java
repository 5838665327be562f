package org.baobabknot.admission;

import java.util.List;
import java.util.Optional;

/**
 * Result of {@link FairQueue#poll}: the next request and those that have expired.
 *
 * @param next the request to start now, empty if none is queued
 * @param expired requests that were removed because their deadline has passed
 * @param <T> type of the items
 */
public record PollResult<T>(Optional<QueuedRequest<T>> next, List<QueuedRequest<T>> expired) {

}
