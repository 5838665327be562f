/**
 * Stand-in for the links between failure domains: TCP forwarders with rate, delay and
 * faults.
 */
@NullMarked
package org.baobabknot.standin.links;

import org.jspecify.annotations.NullMarked;
