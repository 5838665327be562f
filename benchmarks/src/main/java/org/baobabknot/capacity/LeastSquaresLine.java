package org.baobabknot.capacity;

import java.util.List;

/**
 * Least-squares line through measured points.
 *
 * @param slope cost of one more element, in the unit of the measurement
 * @param intercept cost without elements, in the same unit
 * @param fit coefficient of determination; 1 when all points lie on the line
 */
public record LeastSquaresLine(double slope, double intercept, double fit) {

	/**
	 * Fits a line.
	 * @param points at least two points with different numbers of elements
	 * @return the line
	 */
	public static LeastSquaresLine fit(List<Point> points) {
		double meanX = points.stream().mapToDouble(Point::elements).average().orElseThrow();
		double meanY = points.stream().mapToDouble(Point::cost).average().orElseThrow();
		double xx = 0;
		double xy = 0;
		double yy = 0;
		for (Point point : points) {
			double x = point.elements() - meanX;
			double y = point.cost() - meanY;
			xx += x * x;
			xy += x * y;
			yy += y * y;
		}
		if (xx == 0) {
			throw new IllegalArgumentException("expected points with different numbers of elements");
		}
		double slope = xy / xx;
		double fit = (yy == 0) ? 1 : (xy * xy) / (xx * yy);
		return new LeastSquaresLine(slope, meanY - slope * meanX, fit);
	}

	/**
	 * One measurement.
	 *
	 * @param elements number of elements
	 * @param cost measured cost
	 */
	public record Point(double elements, double cost) {

	}

}
