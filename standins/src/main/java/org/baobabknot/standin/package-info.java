/**
 * Small stand-ins for the platform and the targets, with faults that are switched at run
 * time.
 */
@NullMarked
package org.baobabknot.standin;

import org.jspecify.annotations.NullMarked;
