package org.baobabknot.load;

import java.util.Optional;

/**
 * Checks the content of a complete response with a status from 200 to 299.
 */
@FunctionalInterface
public interface ResponseCheck {

	/** Accepts every complete response. */
	ResponseCheck NONE = (response) -> Optional.empty();

	/**
	 * Compares a response with the expected one.
	 * @param response a complete response
	 * @return a description of the error, or empty when the response is correct
	 */
	Optional<String> findError(LoadResponse response);

}
