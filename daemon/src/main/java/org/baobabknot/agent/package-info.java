/**
 * Role of a process that serves one target: admits requests independently of other
 * agents, runs each at most once unless it is idempotent, and returns the response.
 */
@NullMarked
package org.baobabknot.agent;

import org.jspecify.annotations.NullMarked;
