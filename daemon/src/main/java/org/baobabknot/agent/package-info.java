/**
 * Role of a process that serves one target: decides on each request alone, hands it over
 * at most once if it is not idempotent, and passes the answer back.
 */
@NullMarked
package org.baobabknot.agent;

import org.jspecify.annotations.NullMarked;
