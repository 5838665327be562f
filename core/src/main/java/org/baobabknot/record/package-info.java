/**
 * At-most-once execution of non-idempotent requests: the record that an agent keeps of
 * the requests for its target, and durable claims of idempotency keys in the platform's
 * store.
 *
 * <pre>{@code
 * RequestRecord record = new RequestRecord(RecordSettings.defaults(), incarnation);
 * if (record.begin(id, key, fingerprint, now) instanceof Begin.Fresh && record.tryHandOver(id)) {
 *     // ... run the request ...
 *     record.finished(id, result, now);
 * }
 * }</pre>
 */
@NullMarked
package org.baobabknot.record;

import org.jspecify.annotations.NullMarked;
