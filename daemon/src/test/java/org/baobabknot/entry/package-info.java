/**
 * Tests of the entry over real sockets, against agents that follow a script.
 */
package org.baobabknot.entry;
