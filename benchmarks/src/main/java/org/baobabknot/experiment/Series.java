package org.baobabknot.experiment;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Collects measured quantities as a function of one variable and fits a least-squares
 * line to each.
 */
final class Series {

	private final String variable;

	private final Map<String, List<double[]>> points = new LinkedHashMap<>();

	Series(String variable) {
		this.variable = variable;
	}

	void add(double x, String quantity, double y) {
		this.points.computeIfAbsent(quantity, (key) -> new ArrayList<>()).add(new double[] { x, y });
	}

	/**
	 * Adds the points and the fitted lines to a JSON object.
	 * @param node the object to add to
	 */
	void writeTo(ObjectNode node) {
		node.put("variable", this.variable);
		this.points.forEach((quantity, values) -> {
			ObjectNode entry = node.putObject(quantity);
			double[] line = fitLine(values);
			entry.put("slope", roundToFourDigits(line[1])).put("intercept", roundToFourDigits(line[0]));
			values.forEach(
					(point) -> entry.withArray("points").addArray().add(point[0]).add(roundToFourDigits(point[1])));
		});
	}

	/**
	 * Returns a plot of quantities with the same unit.
	 * @param title the title
	 * @param unit label of the vertical axis
	 * @param quantities the quantities to show
	 * @return the plot
	 */
	LinePlot plot(String title, String unit, String... quantities) {
		LinePlot plot = new LinePlot(title, this.variable, unit);
		for (String quantity : quantities) {
			plot.add(quantity, this.points.getOrDefault(quantity, List.of()));
		}
		return plot;
	}

	/**
	 * Fits a line by least squares.
	 * @param points pairs of x and y
	 * @return the intercept and the slope
	 */
	static double[] fitLine(List<double[]> points) {
		double meanX = points.stream().mapToDouble((point) -> point[0]).average().orElse(0);
		double meanY = points.stream().mapToDouble((point) -> point[1]).average().orElse(0);
		double products = 0;
		double squares = 0;
		for (double[] point : points) {
			products += (point[0] - meanX) * (point[1] - meanY);
			squares += (point[0] - meanX) * (point[0] - meanX);
		}
		double slope = (squares > 0) ? products / squares : 0;
		return new double[] { meanY - slope * meanX, slope };
	}

	private static double roundToFourDigits(double value) {
		return (value == 0) ? 0 : Double.parseDouble(String.format(Locale.ROOT, "%.4g", value));
	}

}
