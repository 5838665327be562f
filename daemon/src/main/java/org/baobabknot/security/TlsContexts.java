package org.baobabknot.security;

import javax.net.ssl.SSLException;

import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import org.baobabknot.settings.Settings;

/**
 * Creates TLS contexts for the connections between processes. Both sides present a
 * certificate that one of the configured authorities has signed. Host names are not
 * verified, because processes are addressed by IP address and may be replaced at any
 * time; the authorities issue certificates to processes of this system only.
 */
public final class TlsContexts {

	private static final String[] PROTOCOLS = { "TLSv1.3" };

	private TlsContexts() {
	}

	/**
	 * Creates the context of the accepting side.
	 * @param tls certificate, key and authority files
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
	 * Creates the context of the connecting side.
	 * @param tls certificate, key and authority files
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
