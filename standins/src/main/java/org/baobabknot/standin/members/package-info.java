/**
 * Stand-in for the membership list of the platform.
 */
@NullMarked
package org.baobabknot.standin.members;

import org.jspecify.annotations.NullMarked;
