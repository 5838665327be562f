package org.baobabknot.experiment;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Result of an experiment.
 *
 * @param figures the measured figures, printed as one JSON line
 * @param allChecksPassed whether every check of the experiment passed
 */
public record ExperimentResult(ObjectNode figures, boolean allChecksPassed) {
}
