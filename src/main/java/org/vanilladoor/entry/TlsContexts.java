package org.vanilladoor.entry;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.util.Optional;
import javax.net.ssl.KeyManager;
import javax.net.ssl.KeyManagerFactory;
import javax.net.ssl.SSLContext;
import javax.net.ssl.X509ExtendedKeyManager;
import org.vanilladoor.settings.EntrySettings;

/**
 * Creates the TLS context for connections of callers.
 *
 * <p>The certificate is read from a key store file and reloaded when the file changes, so that it
 * can be replaced without a restart. Stateless and safe for use by any thread.
 */
public final class TlsContexts {
    private TlsContexts() {}

    /**
     * Returns the TLS context for the key store in the settings, or empty if none is set and
     * callers use plain HTTP.
     *
     * @throws IOException if the key store can't be read
     */
    public static Optional<SSLContext> create(EntrySettings settings) throws IOException {
        if (settings.tlsKeyStore().isEmpty()) {
            return Optional.empty();
        }
        Path file = Path.of(settings.tlsKeyStore().get());
        char[] password = settings.tlsKeyStorePassword().toCharArray();
        try {
            SSLContext context = SSLContext.getInstance("TLS");
            context.init(new KeyManager[] {ReloadingKeyManager.create(file, password)}, null, null);
            return Optional.of(context);
        } catch (GeneralSecurityException e) {
            throw new IOException("key store can't be used: " + file, e);
        }
    }

    static X509ExtendedKeyManager loadKeyManager(Path file, char[] password)
            throws IOException, GeneralSecurityException {
        KeyStore store = KeyStore.getInstance("PKCS12");
        try (InputStream input = Files.newInputStream(file)) {
            store.load(input, password);
        }
        KeyManagerFactory factory =
                KeyManagerFactory.getInstance(KeyManagerFactory.getDefaultAlgorithm());
        factory.init(store, password);
        return (X509ExtendedKeyManager) factory.getKeyManagers()[0];
    }
}
