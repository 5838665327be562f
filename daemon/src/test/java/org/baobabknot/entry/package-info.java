/**
 * Tests of the entry over sockets with scripted agents.
 */
package org.baobabknot.entry;
