package org.baobabknot.experiment;

import java.io.ByteArrayInputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;

import javax.xml.parsers.DocumentBuilderFactory;

import org.junit.jupiter.api.Test;
import org.w3c.dom.Document;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests for {@link LinePlot}.
 */
class LinePlotTests {

	// Guards against a document that browsers refuse, and against lost points.
	@Test
	void writesWellFormedXmlWithAllPoints() throws Exception {
		String svg = new LinePlot("bytes < limit & more", "peers", "bytes/s")
			.add("entry", List.of(new double[] { 10, 100 }, new double[] { 200, 2345 }))
			.toSvg();
		Document document = DocumentBuilderFactory.newInstance()
			.newDocumentBuilder()
			.parse(new ByteArrayInputStream(svg.getBytes(StandardCharsets.UTF_8)));
		assertThat(document.getElementsByTagName("circle").getLength(), is(2));
	}

	// Guards against points beyond the end of an axis.
	@Test
	void endsAxesAboveTheLargestValue() {
		assertThat(LinePlot.roundUp(2345), is(2500.0));
		assertThat(LinePlot.roundUp(0.09), is(0.1));
		assertThat(LinePlot.roundUp(7), is(10.0));
	}

}
