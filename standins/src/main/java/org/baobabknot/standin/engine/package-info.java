/**
 * Stand-in for an inference engine with continuous batching and a cold period.
 */
@NullMarked
package org.baobabknot.standin.engine;

import org.jspecify.annotations.NullMarked;
