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
 * Key manager that provides the certificate of a key store file and reloads it when the file
 * changes.
 *
 * <p>The modification time of the file is checked on every access. Invariant: while the file can't
 * be read, the certificate loaded last stays in use. Safe for use by any thread.
 */
final class ReloadingKeyManager extends X509ExtendedKeyManager {
    private static final Logger LOG = LogManager.getLogger(ReloadingKeyManager.class);
    private final Path mFile;
    private final char[] mPassword;
    private X509ExtendedKeyManager mCurrent;
    private FileTime mLoadedFileTime;

    private ReloadingKeyManager(
            Path file, char[] password, X509ExtendedKeyManager current, FileTime loadedFileTime) {
        mFile = file;
        mPassword = password;
        mCurrent = current;
        mLoadedFileTime = loadedFileTime;
    }

    static ReloadingKeyManager create(Path file, char[] password)
            throws IOException, GeneralSecurityException {
        FileTime fileTime = Files.getLastModifiedTime(file);
        return new ReloadingKeyManager(
                file, password, TlsContexts.loadKeyManager(file, password), fileTime);
    }

    private synchronized X509ExtendedKeyManager currentKeyManager() {
        try {
            FileTime fileTime = Files.getLastModifiedTime(mFile);
            if (!fileTime.equals(mLoadedFileTime)) {
                mCurrent = TlsContexts.loadKeyManager(mFile, mPassword);
                mLoadedFileTime = fileTime;
                LOG.info("entry: The certificate was reloaded.");
            }
        } catch (IOException | GeneralSecurityException e) {
            LOG.error(
                    "entry: The certificate can't be reloaded; the previous one stays in use: {}.",
                    e.getMessage());
        }
        return mCurrent;
    }

    @Override
    public String[] getClientAliases(String keyType, Principal[] issuers) {
        return currentKeyManager().getClientAliases(keyType, issuers);
    }

    @Override
    public String chooseClientAlias(String[] keyType, Principal[] issuers, Socket socket) {
        return currentKeyManager().chooseClientAlias(keyType, issuers, socket);
    }

    @Override
    public String[] getServerAliases(String keyType, Principal[] issuers) {
        return currentKeyManager().getServerAliases(keyType, issuers);
    }

    @Override
    public String chooseServerAlias(String keyType, Principal[] issuers, Socket socket) {
        return currentKeyManager().chooseServerAlias(keyType, issuers, socket);
    }

    @Override
    public String chooseEngineServerAlias(String keyType, Principal[] issuers, SSLEngine engine) {
        return currentKeyManager().chooseEngineServerAlias(keyType, issuers, engine);
    }

    @Override
    public X509Certificate[] getCertificateChain(String alias) {
        return currentKeyManager().getCertificateChain(alias);
    }

    @Override
    public PrivateKey getPrivateKey(String alias) {
        return currentKeyManager().getPrivateKey(alias);
    }
}
