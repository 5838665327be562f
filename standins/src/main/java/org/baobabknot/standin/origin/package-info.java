/**
 * Stand-in for the origin that publishes model versions.
 */
@NullMarked
package org.baobabknot.standin.origin;

import org.jspecify.annotations.NullMarked;
