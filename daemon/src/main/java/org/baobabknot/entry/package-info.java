/**
 * Entry: HTTP/1.1 server for callers. Chooses an agent for each request, forwards it over
 * the multiplexed connection to that agent and streams the response back.
 */
@NullMarked
package org.baobabknot.entry;

import org.jspecify.annotations.NullMarked;
