package org.baobabknot.admission;

import java.util.List;
import java.util.Optional;

/**
 * Answer of {@link FairQueue#poll}.
 *
 * @param next the request to start now
 * @param expired requests that were dropped because their deadline has passed
 * @param <T> type of the items
 */
public record PollResult<T>(Optional<QueuedRequest<T>> next, List<QueuedRequest<T>> expired) {

}
