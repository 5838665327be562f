package org.baobabknot.capacity;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;

/**
 * Tests for {@link Slope}.
 */
class SlopeTests {

	// Guards against a capacity figure from a wrong fit.
	@Test
	void findsTheLine() {
		Slope slope = Slope.fit(List.of(new Slope.Point(10, 23), new Slope.Point(20, 43), new Slope.Point(40, 83)));
		assertThat(slope.slope(), closeTo(2, 1e-9));
		assertThat(slope.intercept(), closeTo(3, 1e-9));
		assertThat(slope.fit(), closeTo(1, 1e-9));
	}

	// Guards against a division by zero that would be reported as a figure.
	@Test
	void refusesPointsOfOneSize() {
		List<Slope.Point> points = List.of(new Slope.Point(10, 1), new Slope.Point(10, 2));
		String message = "none";
		try {
			Slope.fit(points);
		}
		catch (IllegalArgumentException ex) {
			message = ex.getMessage();
		}
		assertThat(message, is("expected points with different numbers of elements"));
	}

}
