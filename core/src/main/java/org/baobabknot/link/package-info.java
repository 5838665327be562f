/**
 * Measures the queueing delay at the link of an instance and limits the bulk transfers in
 * flight over it.
 */
@NullMarked
package org.baobabknot.link;

import org.jspecify.annotations.NullMarked;
