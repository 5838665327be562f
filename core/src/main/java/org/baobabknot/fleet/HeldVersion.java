package org.baobabknot.fleet;

/**
 * Layers of one version of a model that a target holds.
 *
 * @param model the model
 * @param version version of the weights
 * @param firstLayer first layer held
 * @param endLayer layer after the last one held
 */
public record HeldVersion(String model, long version, int firstLayer, int endLayer) {

	/**
	 * Returns whether all layers are held.
	 * @param layers number of layers of the model
	 * @return true if the target can run the model alone
	 */
	public boolean isComplete(int layers) {
		return this.firstLayer == 0 && this.endLayer >= layers;
	}

}
