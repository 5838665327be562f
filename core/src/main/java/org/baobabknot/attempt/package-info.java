/**
 * Attempts of one request at several targets: how many it may have, and where.
 */
@NullMarked
package org.baobabknot.attempt;

import org.jspecify.annotations.NullMarked;
