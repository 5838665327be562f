/**
 * View of the fleet in one process: the operators' configuration, the targets, the
 * entries, the failure domains out of service and the age of this data.
 */
@NullMarked
package org.baobabknot.fleet;

import org.jspecify.annotations.NullMarked;
