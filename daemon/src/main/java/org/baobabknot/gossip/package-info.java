/**
 * Dissemination of the rule set and the member list between processes. Every process
 * states on its connections what it knows; the side that is behind pulls. Two entries per
 * failure domain also watch the platform's store.
 */
@NullMarked
package org.baobabknot.gossip;

import org.jspecify.annotations.NullMarked;
