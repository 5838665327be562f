/**
 * The quick start: a whole deployment as separate processes, a rollout under load, a
 * failure domain out and back, and checks against the targets' own records.
 */
@NullMarked
package org.baobabknot.quickstart;

import org.jspecify.annotations.NullMarked;
