package org.vanilladoor.configuration;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

/**
 * Holds the configuration in force at this process.
 *
 * <p>Invariant: the version in force only grows, whoever offers another one. Safe for use by any
 * thread.
 */
public final class ConfigurationKeeper {
    private final List<Consumer<Configuration>> mListeners = new CopyOnWriteArrayList<>();
    private volatile Configuration mCurrent = Configuration.none();

    private ConfigurationKeeper() {}

    /** Returns a keeper that holds no accepted configuration. */
    public static ConfigurationKeeper create() {
        return new ConfigurationKeeper();
    }

    /** Returns the configuration in force. */
    public Configuration current() {
        return mCurrent;
    }

    /** Calls the listener after each change, on the thread that made it. */
    public void addListener(Consumer<Configuration> listener) {
        mListeners.add(listener);
    }

    /** Puts a configuration in force if it is newer; returns whether it was. */
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
