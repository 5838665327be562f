package org.baobabknot.fleet;

/**
 * Address and limits of an origin, from which the first copy of the chunks of weights is
 * read.
 *
 * @param host numeric address
 * @param port port
 * @param domain failure domain of the origin
 * @param bytesPerSecond rate of its link, in bytes per second
 * @param maxConnections limit of connections from all processes together
 */
public record OriginAddress(String host, int port, String domain, long bytesPerSecond, int maxConnections) {
}
