package org.baobabknot.standin;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * JSON bodies of requests and answers.
 */
public final class JsonBody {

	private JsonBody() {
	}

	/**
	 * Reads a body that must be a JSON object.
	 * @param body the body
	 * @return the object
	 * @throws IllegalArgumentException when it is not one
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
