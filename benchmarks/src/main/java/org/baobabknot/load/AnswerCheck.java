package org.baobabknot.load;

import java.util.Optional;

/**
 * Checks a whole answer with status 200.
 */
@FunctionalInterface
public interface AnswerCheck {

	/** Accepts every whole answer. */
	AnswerCheck NONE = (answer) -> Optional.empty();

	/**
	 * Compares an answer with the right one.
	 * @param answer a whole answer
	 * @return what is wrong, or nothing when the answer is right
	 */
	Optional<String> fault(Answer answer);

}
