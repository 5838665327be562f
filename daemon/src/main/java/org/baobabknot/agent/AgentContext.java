package org.baobabknot.agent;

import java.util.function.Supplier;

import org.baobabknot.daemon.Node;
import org.baobabknot.protocol.generated.Load;
import org.baobabknot.record.RequestRecord;
import org.baobabknot.target.Target;

/**
 * What the requests of an agent share.
 *
 * @param node parts of the process
 * @param service service of the target
 * @param target the target
 * @param admission admission to the target
 * @param monitor state of the target
 * @param record record of non-idempotent requests
 * @param claims claims of idempotency keys
 * @param metrics metrics
 * @param load current load
 * @param openRequests requests that have not ended
 */
record AgentContext(Node node, String service, Target target, Admission admission, TargetMonitor monitor,
		RequestRecord record, ClaimExecutor claims, AgentMetrics metrics, Supplier<Load> load,
		OpenRequests openRequests) {

}
