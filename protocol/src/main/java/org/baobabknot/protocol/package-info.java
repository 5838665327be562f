/**
 * Connections between the project's processes: one socket carries many streams of
 * protobuf frames, with flow control by credit on each stream and pings on each
 * connection.
 *
 * <pre>{@code
 * Connector connector = new Connector(group, ConnectionSettings.defaults(), localState, null, counters);
 * connector.connect("192.0.2.7", 7300, listener).thenAccept((result) -> { ... });
 * }</pre>
 */
@NullMarked
package org.baobabknot.protocol;

import org.jspecify.annotations.NullMarked;
