package org.baobabknot.security;

import javax.net.ssl.SSLException;

import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import org.baobabknot.settings.Settings;

/**
 * TLS contexts for the connections between processes. Both sides show a certificate that
 * one of the configured authorities has signed. Host names are not checked, because
 * processes are addressed by IP address and replaced at any time; the authority issues
 * certificates to processes of this system only.
 */
public final class TlsContexts {

	private static final String[] PROTOCOLS = { "TLSv1.3" };

	private TlsContexts() {
	}

	/**
	 * Context of the accepting side.
	 * @param tls files
	 * @return the context
	 * @throws SSLException if a file is not valid
	 */
	public static SslContext server(Settings.Tls tls) throws SSLException {
		return SslContextBuilder.forServer(tls.certificate().toFile(), tls.key().toFile())
			.trustManager(tls.authorities().toFile())
			.clientAuth(ClientAuth.REQUIRE)
			.protocols(PROTOCOLS)
			.build();
	}

	/**
	 * Context of the connecting side.
	 * @param tls files
	 * @return the context
	 * @throws SSLException if a file is not valid
	 */
	public static SslContext client(Settings.Tls tls) throws SSLException {
		return SslContextBuilder.forClient()
			.keyManager(tls.certificate().toFile(), tls.key().toFile())
			.trustManager(tls.authorities().toFile())
			.endpointIdentificationAlgorithm("")
			.protocols(PROTOCOLS)
			.build();
	}

}
