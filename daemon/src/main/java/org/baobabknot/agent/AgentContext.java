package org.baobabknot.agent;

import java.util.function.Supplier;

import org.baobabknot.daemon.ProcessContext;
import org.baobabknot.protocol.generated.Load;
import org.baobabknot.record.RequestRecord;
import org.baobabknot.target.Target;

/**
 * Parts of an agent that all of its requests use.
 *
 * @param node the process
 * @param service service of the target
 * @param target the target
 * @param admission admission of requests to the target
 * @param monitor polls the state of the target
 * @param record record of non-idempotent requests
 * @param claims executes claims of idempotency keys
 * @param metrics metrics
 * @param load supplies the current load
 * @param openRequests the requests that have not ended
 * @param log receives a line for each request
 */
record AgentContext(ProcessContext node, String service, Target target, TargetAdmission admission,
		TargetMonitor monitor, RequestRecord record, ClaimExecutor claims, AgentMetrics metrics, Supplier<Load> load,
		OpenRequests openRequests, RequestLog log) {

}
