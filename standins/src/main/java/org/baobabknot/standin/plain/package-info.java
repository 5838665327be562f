/**
 * Stand-in for a plain service that keeps a ledger of what it ran.
 */
@NullMarked
package org.baobabknot.standin.plain;

import org.jspecify.annotations.NullMarked;
