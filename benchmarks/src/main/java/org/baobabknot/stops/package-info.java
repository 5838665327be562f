/**
 * Stops of gateways under load, as their callers see them.
 */
@NullMarked
package org.baobabknot.stops;

import org.jspecify.annotations.NullMarked;
