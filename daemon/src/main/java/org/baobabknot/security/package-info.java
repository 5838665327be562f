/**
 * Authentication between processes and of operators.
 */
@NullMarked
package org.baobabknot.security;

import org.jspecify.annotations.NullMarked;
