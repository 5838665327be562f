package org.baobabknot.load;

import java.util.Optional;

/**
 * Checks a whole answer with status 200.
 */
@FunctionalInterface
public interface ResponseCheck {

	/** Accepts every whole answer. */
	ResponseCheck NONE = (answer) -> Optional.empty();

	/**
	 * Compares an answer with the right one.
	 * @param response a whole answer
	 * @return what is wrong, or nothing when the answer is right
	 */
	Optional<String> findError(LoadResponse response);

}
