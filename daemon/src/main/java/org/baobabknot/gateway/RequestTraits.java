package org.baobabknot.gateway;

import java.util.ArrayList;
import java.util.List;

import com.dynatrace.hash4j.hashing.Hashing;
import org.baobabknot.provider.CallerRequestHead;

/**
 * What a request may have in common with others under which targets crash. The id of a
 * request changes with each attempt of its caller, and its content stays the same.
 *
 * @param sharedParts ids of the parts of its prompt without the last one
 * @param content hash of what its target receives: method, host, path, prompt and body
 */
record RequestTraits(List<Long> sharedParts, long content) {

	/**
	 * Returns all traits.
	 * @return the parts, followed by the content
	 */
	List<Long> all() {
		List<Long> traits = new ArrayList<>(this.sharedParts);
		traits.add(this.content);
		return traits;
	}

	static RequestTraits of(CallerRequestHead head, byte[] body) {
		long content = Hashing.komihash5_0()
			.hashStream()
			.putString(head.method())
			.putString(head.host())
			.putString(head.path())
			.putString(head.model())
			.putLong(head.promptId())
			.putByteArray(body)
			.getAsLong();
		return new RequestTraits(head.sharedParts(), content);
	}

}
