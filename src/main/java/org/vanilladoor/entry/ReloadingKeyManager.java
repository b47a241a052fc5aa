package org.vanilladoor.entry;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.security.GeneralSecurityException;
import java.security.Principal;
import java.security.PrivateKey;
import java.security.cert.X509Certificate;
import javax.net.ssl.SSLEngine;
import javax.net.ssl.X509ExtendedKeyManager;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Shows the certificate of a key store, loaded anew when the file has changed.
 *
 * <p>Invariant: a file that can't be read leaves the last certificate in use. Safe for use by any
 * thread.
 */
final class ReloadingKeyManager extends X509ExtendedKeyManager {
    private static final Logger LOG = LogManager.getLogger(ReloadingKeyManager.class);
    private final Path mFile;
    private final char[] mPassword;
    private X509ExtendedKeyManager mCurrent;
    private FileTime mLoaded;

    private ReloadingKeyManager(
            Path file, char[] password, X509ExtendedKeyManager current, FileTime loaded) {
        mFile = file;
        mPassword = password;
        mCurrent = current;
        mLoaded = loaded;
    }

    static ReloadingKeyManager create(Path file, char[] password)
            throws IOException, GeneralSecurityException {
        FileTime time = Files.getLastModifiedTime(file);
        return new ReloadingKeyManager(file, password, TlsContexts.load(file, password), time);
    }

    private synchronized X509ExtendedKeyManager current() {
        try {
            FileTime time = Files.getLastModifiedTime(mFile);
            if (!time.equals(mLoaded)) {
                mCurrent = TlsContexts.load(mFile, mPassword);
                mLoaded = time;
                LOG.info("entry: The certificate was loaded anew.");
            }
        } catch (IOException | GeneralSecurityException e) {
            LOG.error("entry: The certificate can't be loaded: {}.", e.getMessage());
        }
        return mCurrent;
    }

    @Override
    public String[] getClientAliases(String keyType, Principal[] issuers) {
        return current().getClientAliases(keyType, issuers);
    }

    @Override
    public String chooseClientAlias(String[] keyType, Principal[] issuers, Socket socket) {
        return current().chooseClientAlias(keyType, issuers, socket);
    }

    @Override
    public String[] getServerAliases(String keyType, Principal[] issuers) {
        return current().getServerAliases(keyType, issuers);
    }

    @Override
    public String chooseServerAlias(String keyType, Principal[] issuers, Socket socket) {
        return current().chooseServerAlias(keyType, issuers, socket);
    }

    @Override
    public String chooseEngineServerAlias(String keyType, Principal[] issuers, SSLEngine engine) {
        return current().chooseEngineServerAlias(keyType, issuers, engine);
    }

    @Override
    public X509Certificate[] getCertificateChain(String alias) {
        return current().getCertificateChain(alias);
    }

    @Override
    public PrivateKey getPrivateKey(String alias) {
        return current().getPrivateKey(alias);
    }
}
