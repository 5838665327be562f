package org.baobabknot.standin;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * JSON bodies of requests and responses.
 */
public final class JsonBody {

	private JsonBody() {
	}

	/**
	 * Parses a body that must be a JSON object.
	 * @param body the body
	 * @return the object
	 * @throws IllegalArgumentException when the body is not a JSON object
	 */
	public static ObjectNode parse(byte[] body) {
		return CallHandler.parse(body);
	}

	/**
	 * Returns an empty object.
	 * @return a new object
	 */
	public static ObjectNode object() {
		return JsonNodeFactory.instance.objectNode();
	}

}
