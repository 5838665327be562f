package org.baobabknot.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermission;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.pkitesting.CertificateBuilder;
import io.netty.pkitesting.X509Bundle;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/**
 * Creates a private certificate authority and one key pair per process for mutual TLS.
 * The authority's key is not written, so keys for further processes need a new authority,
 * which the existing processes must trust in addition.
 */
final class KeysCommand implements Command {

	@Override
	public void declare(OptionParser parser) {
		parser.accepts("days", "validity in days").withRequiredArg().ofType(Integer.class).defaultsTo(365);
		parser.nonOptions("the directory, then the names of the instances and of operators");
	}

	@Override
	public CommandResult run(OptionSet options, CommandContext context) throws CommandFailure {
		List<String> arguments = Arguments.all(options);
		if (arguments.size() < 2) {
			throw new CommandFailure(ExitStatus.USAGE, "expected DIRECTORY and at least one INSTANCE");
		}
		Path directory = Path.of(arguments.get(0));
		List<String> names = arguments.subList(1, arguments.size());
		try {
			List<String> files = write(directory, names, Duration.ofDays((Integer) options.valueOf("days")));
			ObjectNode json = JsonNodeFactory.instance.objectNode();
			json.putArray("files");
			files.forEach(json.withArray("files")::add);
			return new CommandResult(ExitStatus.OK, json, files);
		}
		catch (IOException ex) {
			throw new CommandFailure(ExitStatus.USAGE, "cannot write to " + directory + ": " + ex.getMessage());
		}
	}

	private static List<String> write(Path directory, List<String> names, Duration validity)
			throws IOException, CommandFailure {
		Files.createDirectories(directory);
		Instant now = Instant.now();
		CertificateBuilder template = new CertificateBuilder().ecp256()
			.notBefore(now.minus(Duration.ofHours(1)))
			.notAfter(now.plus(validity));
		List<String> files = new ArrayList<>();
		try {
			X509Bundle authority = template.copy()
				.subject("CN=baobabknot authority")
				.setIsCertificateAuthority(true)
				.setKeyUsage(true, CertificateBuilder.KeyUsage.keyCertSign)
				.buildSelfSigned();
			files.add(write(directory.resolve("authorities.pem"), authority.getCertificatePEM(), false));
			for (String name : names) {
				X509Bundle keys = template.copy()
					.subject("CN=" + name)
					.addSanDnsName(name)
					.setKeyUsage(true, CertificateBuilder.KeyUsage.digitalSignature)
					.addExtendedKeyUsageServerAuth()
					.addExtendedKeyUsageClientAuth()
					.buildIssuedBy(authority);
				files.add(write(directory.resolve(name + ".pem"), keys.getCertificatePathPEM(), false));
				files.add(write(directory.resolve(name + ".key"), keys.getPrivateKeyPEM(), true));
			}
		}
		catch (IOException ex) {
			throw ex;
		}
		catch (Exception ex) {
			throw new CommandFailure(ExitStatus.REFUSED, "cannot create keys: " + ex);
		}
		return files;
	}

	private static String write(Path file, String text, boolean secret) throws IOException {
		Files.deleteIfExists(file);
		Files.createFile(file);
		if (secret) {
			Files.setPosixFilePermissions(file,
					EnumSet.of(PosixFilePermission.OWNER_READ, PosixFilePermission.OWNER_WRITE));
		}
		Files.writeString(file, text);
		return file.toString();
	}

}
