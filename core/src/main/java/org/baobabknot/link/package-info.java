/**
 * Measures the link of a machine and bounds what is on its way over it.
 */
@NullMarked
package org.baobabknot.link;

import org.jspecify.annotations.NullMarked;
