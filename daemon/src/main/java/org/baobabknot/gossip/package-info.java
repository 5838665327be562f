/**
 * Dissemination of the rule set and the member list between processes. Every process
 * announces its revision of the rules and its version of the member list on its
 * connections, and a peer that has an older one pulls. Two entries per failure domain
 * also watch the platform's store.
 */
@NullMarked
package org.baobabknot.gossip;

import org.jspecify.annotations.NullMarked;
