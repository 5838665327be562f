/**
 * Main classes of the processes, and the components that entries and agents share.
 */
@NullMarked
package org.baobabknot.daemon;

import org.jspecify.annotations.NullMarked;
