/**
 * Rates that all processes together keep towards one target: what the target has stated,
 * who issues permits for it, and what each process holds of them.
 */
@NullMarked
package org.baobabknot.limit;

import org.jspecify.annotations.NullMarked;
