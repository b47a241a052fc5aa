package org.vanilladoor.exchange;

import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Optional;
import org.vanilladoor.common.EventLog;
import org.vanilladoor.common.Identifiers;
import org.vanilladoor.common.Json;
import org.vanilladoor.provider.ObjectStore;
import org.vanilladoor.provider.StoredObject;

/**
 * The secret by which the processes of a fleet recognize each other; it is kept in the store.
 *
 * <p>Invariant: at most one call to the store is in progress. Confined to the control thread.
 */
final class FleetSecret {
    private static final String OBJECT = "exchange/secret";
    private final ObjectStore mStore;
    private Optional<String> mValue = Optional.empty();
    private boolean mCalling;

    FleetSecret(ObjectStore store) {
        mStore = store;
    }

    /** Returns the secret, or empty while it has not been read. */
    Optional<String> value() {
        return mValue;
    }

    /** Returns whether a text is the secret; takes the same time for any text of its length. */
    boolean matches(String text) {
        return mValue.isPresent()
                && MessageDigest.isEqual(
                        mValue.get().getBytes(StandardCharsets.UTF_8),
                        text.getBytes(StandardCharsets.UTF_8));
    }

    /** Forgets the secret, which is no longer the one in the store. */
    void forget() {
        mValue = Optional.empty();
    }

    /**
     * Starts to read the secret.
     *
     * @param createsMissing whether a missing one is created, which only the lease holder does
     */
    void read(boolean createsMissing) {
        if (mCalling) {
            return;
        }
        mCalling = true;
        mStore.read(OBJECT)
                .whenComplete(
                        (found, failure) -> {
                            mCalling = false;
                            if (failure != null) {
                                logFailure("secret.unread", failure);
                            } else if (found.isPresent()) {
                                decode(found.get());
                            } else if (createsMissing) {
                                create();
                            }
                        });
    }

    private void decode(StoredObject object) {
        try {
            mValue =
                    Optional.ofNullable(Json.read(object.content(), Content.class).secret())
                            .filter(secret -> !secret.isEmpty());
        } catch (UncheckedIOException e) {
            logFailure("secret.unread", e);
        }
    }

    /**
     * If another process creates it at the same time, this write fails and the next read finds it.
     */
    private void create() {
        mCalling = true;
        String secret = Identifiers.random();
        mStore.write(OBJECT, ObjectStore.ABSENT, Json.write(new Content(secret)))
                .whenComplete(
                        (version, failure) -> {
                            mCalling = false;
                            if (failure == null) {
                                mValue = Optional.of(secret);
                                EventLog.write("exchange", "secret.created");
                            } else {
                                logFailure("secret.unwritten", failure);
                            }
                        });
    }

    private static void logFailure(String event, Throwable failure) {
        EventLog.write("exchange", event, "reason", failure.getMessage());
    }

    /**
     * The stored object.
     *
     * @param secret the secret
     */
    record Content(String secret) {}
}
