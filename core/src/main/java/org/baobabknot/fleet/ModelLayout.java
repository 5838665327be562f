package org.baobabknot.fleet;

/**
 * Division of the weights of a model into layers and chunks.
 *
 * @param layers number of layers of the model
 * @param chunks number of chunks of a version
 * @param chunkBytes size of a chunk in bytes
 * @param loadMs time in which an engine loads all layers, in ms
 */
public record ModelLayout(int layers, int chunks, int chunkBytes, double loadMs) {
}
