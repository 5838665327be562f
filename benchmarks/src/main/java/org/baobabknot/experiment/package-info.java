/**
 * Measurements of the system as separate processes on loopback. Each experiment is one
 * subcommand of {@code ./experiment} and ends with one JSON line on standard output.
 */
@NullMarked
package org.baobabknot.experiment;

import org.jspecify.annotations.NullMarked;
