package org.baobabknot.standin.origin;

import java.util.Arrays;
import java.util.SplittableRandom;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.baobabknot.origin.ManifestJson;
import org.baobabknot.standin.JsonBody;
import org.baobabknot.weights.Manifest;

/**
 * One published version, with content generated from a seed.
 *
 * @param manifest the manifest
 * @param content the bytes
 */
public record ModelVersion(Manifest manifest, byte[] content) {

	/**
	 * Generates a version.
	 * @param service the service
	 * @param version the version
	 * @param seed the seed of the content
	 * @param size size of the content in bytes
	 * @param chunkSize size of a chunk in bytes
	 * @return the version
	 */
	public static ModelVersion generate(String service, String version, long seed, int size, int chunkSize) {
		byte[] content = new byte[size];
		new SplittableRandom(seed).nextBytes(content);
		return new ModelVersion(Manifest.of(service, version, content, chunkSize), content);
	}

	/**
	 * Returns a chunk.
	 * @param index the index of the chunk from 0
	 * @return a copy of its bytes
	 */
	public byte[] chunk(int index) {
		int start = (int) this.manifest.chunkOffset(index);
		return Arrays.copyOfRange(this.content, start, start + this.manifest.chunkLength(index));
	}

	/**
	 * Returns the manifest as published.
	 * @return the JSON form
	 */
	public ObjectNode manifestJson() {
		return JsonBody.parse(ManifestJson.write(this.manifest));
	}

}
