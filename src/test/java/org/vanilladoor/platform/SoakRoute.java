package org.vanilladoor.platform;

import java.util.List;
import java.util.Locale;

/** The routes that a soak serves. */
enum SoakRoute {
    ONCE("unsafe", 1, false),
    SAFE("safe", 2, false),
    FLOW("stream", 1, false),
    OPEN("safe", 2, true);

    /** Callers' keys; key-N belongs to team-N. */
    static final List<String> KEYS = List.of("key-1", "key-2", "key-3");

    static final int TIMEOUT_MILLIS = 2_000;

    /** Number of events in each stream. */
    static final int EVENTS = 4;

    private final String mType;
    private final int mMaximumRuns;
    private final boolean mPublic;

    SoakRoute(String type, int maximumRuns, boolean isPublic) {
        mType = type;
        mMaximumRuns = maximumRuns;
        mPublic = isPublic;
    }

    String prefix() {
        return "/" + name().toLowerCase(Locale.ROOT) + "/";
    }

    String type() {
        return mType;
    }

    int maximumRuns() {
        return mMaximumRuns;
    }

    boolean isPublic() {
        return mPublic;
    }

    /** Returns the team that must be named to endpoints: none on a public route. */
    String teamOf(String key) {
        return mPublic ? "" : teamHolding(key);
    }

    /** Returns the team that holds a key. */
    static String teamHolding(String key) {
        return key.replace("key", "team");
    }
}
