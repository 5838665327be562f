/**
 * At-most-once execution of non-idempotent requests: a record of the requests that each
 * agent hands to its target, and durable claims of idempotency keys in the platform's
 * store.
 *
 * <pre>{@code
 * RequestRecord record = new RequestRecord(RecordSettings.defaults(), incarnation);
 * if (record.register(id, key, fingerprint, now) instanceof RegistrationResult.Registered
 *         && record.tryHandOver(id)) {
 *     // ... run the request ...
 *     record.storeResponse(id, response, now);
 * }
 * }</pre>
 */
@NullMarked
package org.baobabknot.record;

import org.jspecify.annotations.NullMarked;
