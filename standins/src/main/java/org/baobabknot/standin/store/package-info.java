/**
 * Stand-in for the configuration store of the platform.
 */
@NullMarked
package org.baobabknot.standin.store;

import org.jspecify.annotations.NullMarked;
