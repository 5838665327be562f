package org.baobabknot.mirror;

/**
 * What a mirror needs to know of the items of its store.
 */
public interface ItemRules {

	/**
	 * Returns the kind of an item.
	 * @param key key of the item
	 * @return the kind
	 */
	ItemKind kind(String key);

	/**
	 * Compares two values of an item by the order in which their writer wrote them, which
	 * the values state themselves.
	 * @param key key of the item
	 * @param known first value
	 * @param candidate second value
	 * @return negative if the candidate is the older one, positive if it is the newer
	 * one, 0 if the values don't tell
	 */
	int compare(String key, byte[] known, byte[] candidate);

}
