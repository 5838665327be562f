/**
 * Tests of the dissemination between processes over real sockets.
 */
package org.baobabknot.gossip;
