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
 * Makes contexts for TLS towards callers.
 *
 * <p>The certificate comes from a key store and is loaded anew when the file changes, so that it is
 * replaced without a restart. Stateless and safe for use by any thread.
 */
public final class TlsContexts {
    private TlsContexts() {}

    /**
     * Returns the context that the settings ask for, or empty for plain HTTP.
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

    static X509ExtendedKeyManager load(Path file, char[] password)
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
