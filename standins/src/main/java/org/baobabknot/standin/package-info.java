/**
 * Small programs that stand for the systems of the platform and for targets in tests,
 * with faults that can be activated and cleared at run time.
 */
@NullMarked
package org.baobabknot.standin;

import org.jspecify.annotations.NullMarked;
