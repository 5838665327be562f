package org.baobabknot.relay;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

import com.google.protobuf.ByteString;
import org.baobabknot.mirror.MirrorSnapshot;
import org.baobabknot.mirror.Position;
import org.baobabknot.mirror.StoreItem;
import org.baobabknot.protocol.generated.Value;
import org.baobabknot.protocol.generated.Values;
import org.baobabknot.provider.ItemSnapshot;

/**
 * Converts between snapshots and protocol messages, and compresses their values.
 */
final class ValueMessages {

	/** Path of the request for values. */
	static final String PATH = "/values";

	/** Maximum size of a message: several times the largest value that a store holds. */
	static final int MAX_MESSAGE_BYTES = 4 << 20;

	private static final int BUFFER_BYTES = 16 << 10;

	private ValueMessages() {
	}

	static byte[] deflate(byte[] value) {
		Deflater deflater = new Deflater(Deflater.BEST_SPEED);
		try {
			deflater.setInput(value);
			deflater.finish();
			ByteArrayOutputStream output = new ByteArrayOutputStream();
			byte[] buffer = new byte[BUFFER_BYTES];
			while (!deflater.finished()) {
				output.write(buffer, 0, deflater.deflate(buffer));
			}
			return output.toByteArray();
		}
		finally {
			deflater.end();
		}
	}

	/**
	 * Decompresses a value.
	 * @param deflated the compressed bytes
	 * @return the value
	 * @throws IllegalArgumentException when the bytes are damaged, incomplete or too long
	 */
	static byte[] inflate(byte[] deflated) {
		Inflater inflater = new Inflater();
		try {
			inflater.setInput(deflated);
			ByteArrayOutputStream output = new ByteArrayOutputStream();
			byte[] buffer = new byte[BUFFER_BYTES];
			while (!inflater.finished()) {
				int count = inflater.inflate(buffer);
				if (count == 0 && !inflater.finished()) {
					throw new IllegalArgumentException("value: compressed bytes are incomplete");
				}
				output.write(buffer, 0, count);
				if (output.size() > MAX_MESSAGE_BYTES) {
					throw new IllegalArgumentException("value: longer than " + MAX_MESSAGE_BYTES + " bytes");
				}
			}
			return output.toByteArray();
		}
		catch (DataFormatException ex) {
			throw new IllegalArgumentException("value: compressed bytes are damaged", ex);
		}
		finally {
			inflater.end();
		}
	}

	/**
	 * Converts a response to a snapshot.
	 * @param values the response
	 * @return the snapshot
	 * @throws IllegalArgumentException when a value is damaged
	 */
	static ItemSnapshot toSnapshot(Values values) {
		List<StoreItem> changed = new ArrayList<>();
		for (Value value : values.getChangedList()) {
			changed.add(new StoreItem(value.getKey(), inflate(value.getDeflated().toByteArray()), value.getRevision()));
		}
		Position position = new Position(values.getEra(), values.getRevision());
		return new ItemSnapshot(new MirrorSnapshot(position, values.getPresentMap(), changed), values.getConnected(),
				values.getAgeMs(), values.getReceiving());
	}

	static Value toMessage(StoreItem item, ByteString deflated) {
		return Value.newBuilder().setKey(item.key()).setRevision(item.revision()).setDeflated(deflated).build();
	}

}
