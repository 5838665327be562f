/**
 * Stand-in for a plain service that logs the requests that it ran.
 */
@NullMarked
package org.baobabknot.standin.plain;

import org.jspecify.annotations.NullMarked;
