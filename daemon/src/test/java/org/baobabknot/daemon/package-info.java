/**
 * Tests of whole processes.
 */
package org.baobabknot.daemon;
