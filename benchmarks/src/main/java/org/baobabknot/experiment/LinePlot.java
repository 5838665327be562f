package org.baobabknot.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Renders a line plot as SVG, with linear axes that start at zero and one line with point
 * markers per series.
 */
public final class LinePlot {

	private static final int WIDTH = 640;

	private static final int HEIGHT = 400;

	private static final int LEFT_MARGIN = 70;

	private static final int RIGHT_MARGIN = 20;

	private static final int TOP_MARGIN = 40;

	private static final int BOTTOM_MARGIN = 50;

	private static final int INTERVALS_PER_AXIS = 5;

	private static final List<String> COLOURS = List.of("#1b6ca8", "#c8553d", "#3d8361", "#7a4ea3", "#8a6d1d");

	private final String title;

	private final String xLabel;

	private final String yLabel;

	private final List<Series> series = new ArrayList<>();

	/**
	 * Creates an empty plot.
	 * @param title the title
	 * @param xLabel label of the horizontal axis with its unit
	 * @param yLabel label of the vertical axis with its unit
	 */
	public LinePlot(String title, String xLabel, String yLabel) {
		this.title = title;
		this.xLabel = xLabel;
		this.yLabel = yLabel;
	}

	/**
	 * Adds a series.
	 * @param name the name in the legend
	 * @param points pairs of x and y, in order of x
	 * @return this plot
	 */
	public LinePlot add(String name, List<double[]> points) {
		this.series.add(new Series(name, List.copyOf(points)));
		return this;
	}

	/**
	 * Renders the plot.
	 * @return an SVG document
	 */
	public String toSvg() {
		double xMax = axisEnd(0);
		double yMax = axisEnd(1);
		StringBuilder svg = new StringBuilder();
		svg.append(format("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\" ", WIDTH, HEIGHT));
		svg.append("font-family=\"sans-serif\" font-size=\"12\">\n");
		svg.append("<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n");
		appendText(svg, WIDTH / 2.0, 20, "middle", this.title);
		appendText(svg, (LEFT_MARGIN + WIDTH - RIGHT_MARGIN) / 2.0, HEIGHT - 10, "middle", this.xLabel);
		svg.append(format("<g transform=\"translate(16 %d) rotate(-90)\">", HEIGHT / 2));
		appendText(svg, 0, 0, "middle", this.yLabel);
		svg.append("</g>\n");
		appendAxes(svg, xMax, yMax);
		for (int i = 0; i < this.series.size(); i++) {
			appendSeries(svg, this.series.get(i), i, xMax, yMax);
		}
		return svg.append("</svg>\n").toString();
	}

	private double axisEnd(int coordinate) {
		double largest = this.series.stream()
			.flatMap((line) -> line.points().stream())
			.mapToDouble((point) -> point[coordinate])
			.max()
			.orElse(1);
		return roundUp(Math.max(largest, 1e-9));
	}

	/**
	 * Rounds up to 1, 2, 2.5 or 5 times a power of ten, so that ticks are round numbers.
	 * @param value a positive value
	 * @return the value at the end of the axis
	 */
	static double roundUp(double value) {
		double power = Math.pow(10, Math.floor(Math.log10(value)));
		for (double step : new double[] { 1, 2, 2.5, 5 }) {
			if (value <= step * power * 1.000001) {
				return step * power;
			}
		}
		return 10 * power;
	}

	private void appendAxes(StringBuilder svg, double xMax, double yMax) {
		for (int i = 0; i <= INTERVALS_PER_AXIS; i++) {
			double x = xPixel(xMax * i / INTERVALS_PER_AXIS, xMax);
			double y = yPixel(yMax * i / INTERVALS_PER_AXIS, yMax);
			svg.append(format("<line x1=\"%d\" x2=\"%d\" y1=\"%.1f\" y2=\"%.1f\" stroke=\"#dddddd\"/>\n", LEFT_MARGIN,
					WIDTH - RIGHT_MARGIN, y, y));
			appendText(svg, x, HEIGHT - BOTTOM_MARGIN + 16, "middle", formatNumber(xMax * i / INTERVALS_PER_AXIS));
			appendText(svg, LEFT_MARGIN - 6, y + 4, "end", formatNumber(yMax * i / INTERVALS_PER_AXIS));
		}
		svg.append(format("<path d=\"M%d %d V%d H%d\" fill=\"none\" stroke=\"black\"/>\n", LEFT_MARGIN, TOP_MARGIN,
				HEIGHT - BOTTOM_MARGIN, WIDTH - RIGHT_MARGIN));
	}

	private void appendSeries(StringBuilder svg, Series line, int index, double xMax, double yMax) {
		String colour = COLOURS.get(index % COLOURS.size());
		StringBuilder points = new StringBuilder();
		for (double[] point : line.points()) {
			points.append(format("%.1f,%.1f ", xPixel(point[0], xMax), yPixel(point[1], yMax)));
			svg.append(format("<circle cx=\"%.1f\" cy=\"%.1f\" r=\"3\" fill=\"%s\"/>\n", xPixel(point[0], xMax),
					yPixel(point[1], yMax), colour));
		}
		svg.append(format("<polyline points=\"%s\" fill=\"none\" stroke=\"%s\" stroke-width=\"2\"/>\n",
				points.toString().strip(), colour));
		int legend = TOP_MARGIN + 14 * index;
		svg.append(format("<rect x=\"%d\" y=\"%d\" width=\"10\" height=\"10\" fill=\"%s\"/>\n", LEFT_MARGIN + 10,
				legend, colour));
		appendText(svg, LEFT_MARGIN + 26, legend + 10, "start", line.name());
	}

	private static double xPixel(double value, double max) {
		return LEFT_MARGIN + value / max * (WIDTH - LEFT_MARGIN - RIGHT_MARGIN);
	}

	private static double yPixel(double value, double max) {
		return HEIGHT - BOTTOM_MARGIN - value / max * (HEIGHT - TOP_MARGIN - BOTTOM_MARGIN);
	}

	private static void appendText(StringBuilder svg, double x, double y, String anchor, String content) {
		String escaped = content.replace("&", "&amp;").replace("<", "&lt;");
		svg.append(format("<text x=\"%.1f\" y=\"%.1f\" text-anchor=\"%s\">%s</text>\n", x, y, anchor, escaped));
	}

	private static String formatNumber(double value) {
		return (value == Math.rint(value)) ? format("%.0f", value) : format("%.3g", value);
	}

	private static String format(String format, Object... arguments) {
		return String.format(Locale.ROOT, format, arguments);
	}

	private record Series(String name, List<double[]> points) {
	}

}
