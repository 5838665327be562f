package org.baobabknot.weights;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Describes the content of one model version. The constructor rejects a manifest with an
 * inconsistent size, chunk size and number of digests.
 *
 * @param service the service that runs the model
 * @param version the version of the model
 * @param size size of the content in bytes
 * @param chunkSize size of every chunk in bytes, except the last, which may be shorter
 * @param chunkDigests SHA-256 of each chunk
 * @param wholeDigest SHA-256 of the whole content
 */
public record Manifest(String service, String version, long size, int chunkSize, List<String> chunkDigests,
		String wholeDigest) {

	public Manifest {
		chunkDigests = List.copyOf(chunkDigests);
		if (size < 1 || chunkSize < 1) {
			throw new IllegalArgumentException("size and chunkSize must be positive");
		}
		long expectedChunkCount = (size + chunkSize - 1) / chunkSize;
		if (expectedChunkCount != chunkDigests.size()) {
			throw new IllegalArgumentException(
					"expected %d chunk digests, found %d".formatted(expectedChunkCount, chunkDigests.size()));
		}
		if (!Digests.isValid(wholeDigest) || !chunkDigests.stream().allMatch(Digests::isValid)) {
			throw new IllegalArgumentException("digests must be 64 lower-case hexadecimal digits");
		}
		if (!isName(service) || !isName(version)) {
			throw new IllegalArgumentException("service and version must be non-empty and without white space");
		}
	}

	private static boolean isName(String name) {
		return !name.isEmpty() && name.chars().noneMatch(Character::isWhitespace);
	}

	/**
	 * Returns the number of chunks.
	 * @return the number, at least 1
	 */
	public int chunkCount() {
		return this.chunkDigests.size();
	}

	/**
	 * Returns the length of a chunk.
	 * @param index the chunk
	 * @return bytes
	 */
	public int chunkLength(int index) {
		return (int) Math.min(this.chunkSize, this.size - chunkOffset(index));
	}

	/**
	 * Returns the offset of a chunk in the content.
	 * @param index the chunk
	 * @return offset in bytes
	 */
	public long chunkOffset(int index) {
		return (long) index * this.chunkSize;
	}

	/**
	 * Returns the digest of the manifest, by which rules refer to it: SHA-256 over
	 * {@link #canonicalText()}.
	 * @return 64 lower-case hexadecimal digits
	 */
	public String digest() {
		return Digests.of(canonicalText());
	}

	/**
	 * Returns the text over which the digest of the manifest is computed: one field per
	 * line, then one chunk digest per line.
	 * @return the text
	 */
	public String canonicalText() {
		StringBuilder text = new StringBuilder("baobabknot-manifest 1\n");
		text.append("service ").append(this.service).append('\n');
		text.append("version ").append(this.version).append('\n');
		text.append("size ").append(this.size).append('\n');
		text.append("chunk-size ").append(this.chunkSize).append('\n');
		text.append("whole ").append(this.wholeDigest).append('\n');
		for (String chunk : this.chunkDigests) {
			text.append("chunk ").append(chunk).append('\n');
		}
		return text.toString();
	}

	/**
	 * Creates the manifest of content that is in memory.
	 * @param service the service
	 * @param version the version
	 * @param content the whole content
	 * @param chunkSize size of a chunk in bytes
	 * @return the manifest
	 */
	public static Manifest of(String service, String version, byte[] content, int chunkSize) {
		List<String> digests = new ArrayList<>();
		for (int offset = 0; offset < content.length; offset += chunkSize) {
			int end = Math.min(content.length, offset + chunkSize);
			digests.add(Digests.of(Arrays.copyOfRange(content, offset, end)));
		}
		return new Manifest(service, version, content.length, chunkSize, digests, Digests.of(content));
	}

}
