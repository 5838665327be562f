/**
 * Main class of an entry or agent, and the parts that both roles share.
 */
@NullMarked
package org.baobabknot.daemon;

import org.jspecify.annotations.NullMarked;
