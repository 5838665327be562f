package org.baobabknot.capacity;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;

/**
 * Tests for {@link LeastSquaresLine}.
 */
class LeastSquaresLineTests {

	// Guards against a capacity figure that is derived from a wrong fit.
	@Test
	void fitsPointsOnALine() {
		LeastSquaresLine slope = LeastSquaresLine.fit(List.of(new LeastSquaresLine.Point(10, 23),
				new LeastSquaresLine.Point(20, 43), new LeastSquaresLine.Point(40, 83)));
		assertThat(slope.slope(), closeTo(2, 1e-9));
		assertThat(slope.intercept(), closeTo(3, 1e-9));
		assertThat(slope.fit(), closeTo(1, 1e-9));
	}

	// Guards against a division by zero that would be reported as a figure.
	@Test
	void rejectsPointsWithEqualElementCounts() {
		List<LeastSquaresLine.Point> points = List.of(new LeastSquaresLine.Point(10, 1),
				new LeastSquaresLine.Point(10, 2));
		String message = "none";
		try {
			LeastSquaresLine.fit(points);
		}
		catch (IllegalArgumentException ex) {
			message = ex.getMessage();
		}
		assertThat(message, is("expected points with different numbers of elements"));
	}

}
