package org.baobabknot.gateway;

import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests of the parser of server-sent events.
 */
class StreamEventParserTests {

	private static String add(StreamEventParser parser, String data) {
		ByteBuf completeEvents = parser.add(Unpooled.copiedBuffer(data, StandardCharsets.UTF_8));
		try {
			return completeEvents.toString(StandardCharsets.UTF_8);
		}
		finally {
			completeEvents.release();
		}
	}

	@Test
	void onlyCompleteEventsAreReturned() {
		StreamEventParser parser = new StreamEventParser(-1);
		assertThat(add(parser, "id: 4\nda"), is(""));
		assertThat(parser.lastEventId(), is(-1L));
		assertThat(add(parser, "ta: x\n\nid: 5\n"), is("id: 4\ndata: x\n\n"));
		assertThat(parser.lastEventId(), is(4L));
		assertThat(parser.takePending().toString(StandardCharsets.UTF_8), is("id: 5\n"));
		assertThat(parser.lastEventId(), is(4L));
	}

	@Test
	void linesMayEndWithCarriageReturns() {
		StreamEventParser parser = new StreamEventParser(-1);
		assertThat(add(parser, "id: 1\r\ndata: x\r\n\r\n"), is("id: 1\r\ndata: x\r\n\r\n"));
		assertThat(parser.lastEventId(), is(1L));
	}

	@Test
	void anySplitOfTheInputGivesTheSameBytesAndIds() {
		StringBuilder text = new StringBuilder();
		for (int number = 0; number < 40; number++) {
			text.append("weight-versions: 2\nid: ")
				.append(number)
				.append("\ndata: ")
				.append("x".repeat(number))
				.append("\n\n");
		}
		SplittableRandom random = new SplittableRandom(11);
		for (int round = 0; round < 200; round++) {
			StreamEventParser parser = new StreamEventParser(-1);
			StringBuilder received = new StringBuilder();
			int start = 0;
			while (start < text.length()) {
				int end = Math.min(text.length(), start + 1 + random.nextInt(30));
				received.append(add(parser, text.substring(start, end)));
				start = end;
			}
			assertThat(received.toString(), is(text.toString()));
			assertThat(parser.lastEventId(), is(39L));
			assertThat(parser.eventCount(), is(40));
		}
	}

}
