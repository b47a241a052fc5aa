package org.vanilladoor.configuration;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

/**
 * Holds the active configuration of this process.
 *
 * <p>Invariant: the version of the active configuration never decreases, regardless of the source
 * of a replacement. Safe for use by any thread.
 */
public final class ActiveConfiguration {
    private final List<Consumer<Configuration>> mListeners = new CopyOnWriteArrayList<>();
    private volatile Configuration mCurrent = Configuration.none();

    private ActiveConfiguration() {}

    /** Returns a holder whose active configuration is the empty one. */
    public static ActiveConfiguration create() {
        return new ActiveConfiguration();
    }

    /** Returns the active configuration. */
    public Configuration current() {
        return mCurrent;
    }

    /** Adds a listener, which is called after each change on the thread that made the change. */
    public void addListener(Consumer<Configuration> listener) {
        mListeners.add(listener);
    }

    /** Activates the configuration if its version is newer; returns whether it was. */
    public boolean replaceIfNewer(Configuration configuration) {
        synchronized (this) {
            if (configuration.version() <= mCurrent.version()) {
                return false;
            }
            mCurrent = configuration;
        }
        mListeners.forEach(listener -> listener.accept(mCurrent));
        return true;
    }
}
