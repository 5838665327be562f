package org.baobabknot.experiment;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * HTTP client for the control paths of stand-ins and the operator ports of processes. Its
 * requests are not part of the measured traffic.
 */
public final class ControlClient {

	private static final Duration TIMEOUT = Duration.ofSeconds(20);

	private final HttpClient client = HttpClient.newBuilder()
		.version(HttpClient.Version.HTTP_1_1)
		.connectTimeout(Duration.ofSeconds(2))
		.build();

	private final ObjectMapper mapper = new ObjectMapper();

	/**
	 * Reads a JSON value.
	 * @param url the URL
	 * @return the body of the response
	 * @throws IOException when there is no response with a 2xx status
	 * @throws InterruptedException when interrupted
	 */
	public JsonNode readJson(String url) throws IOException, InterruptedException {
		return this.mapper
			.readTree(sendForText(HttpRequest.newBuilder(URI.create(url)).timeout(TIMEOUT).GET().build()));
	}

	/**
	 * Reads a text body.
	 * @param url the URL
	 * @return the body of the response
	 * @throws IOException when there is no response with a 2xx status
	 * @throws InterruptedException when interrupted
	 */
	public String readText(String url) throws IOException, InterruptedException {
		return sendForText(HttpRequest.newBuilder(URI.create(url)).timeout(TIMEOUT).GET().build());
	}

	/**
	 * Sends a JSON value as the body of a request.
	 * @param method the HTTP method
	 * @param url the URL
	 * @param body the value
	 * @return the body of the response
	 * @throws IOException when there is no response with a 2xx status
	 * @throws InterruptedException when interrupted
	 */
	public JsonNode send(String method, String url, JsonNode body) throws IOException, InterruptedException {
		String response = sendForText(HttpRequest.newBuilder(URI.create(url))
			.timeout(TIMEOUT)
			.header("Content-Type", "application/json")
			.method(method, HttpRequest.BodyPublishers.ofString(body.toString()))
			.build());
		return response.isEmpty() ? this.mapper.createObjectNode() : this.mapper.readTree(response);
	}

	private String sendForText(HttpRequest request) throws IOException, InterruptedException {
		HttpResponse<String> response = this.client.send(request, HttpResponse.BodyHandlers.ofString());
		if (response.statusCode() / 100 != 2) {
			throw new IOException(request.method() + " " + request.uri() + ": status " + response.statusCode() + " "
					+ response.body());
		}
		return response.body();
	}

}
