package org.vanilladoor.fleet;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * How often each shared prefix was used by this VM, and where.
 *
 * <p>Invariant: at most {@link #MAXIMUM_PREFIXES} prefixes are kept, each with at most {@link
 * #MAXIMUM_ENGINES} engines. Time is passed in as an argument. Confined to the control thread.
 */
final class PrefixUse {
    private static final int MAXIMUM_PREFIXES = 1_024;
    private static final int MAXIMUM_ENGINES = 16;
    private static final float LOAD_FACTOR = 0.75f;

    /** Time after which a use has decayed to 1/e. */
    private static final double DECAY_MILLIS = 20_000;

    /** Time for which an engine that read a prefix is likely to hold it. */
    private static final long HELD_MILLIS = 10_000;

    /** Uses that are added to the total, so that the first ones don't seem to be all. */
    private static final double ADDITIONAL_USES = 20;

    /** Engines that hold each prefix; with one, a few prefixes load the engines unevenly. */
    private static final int MINIMUM_HOLDERS = 2;

    /** Spare engines among the holders of a prefix. */
    private static final double HOLDER_RESERVE = 1.25;

    private static final long MIX_INCREMENT = 0x9E3779B97F4A7C15L;
    private static final long MIX_FIRST = 0xBF58476D1CE4E5B9L;
    private static final long MIX_SECOND = 0x94D049BB133111EBL;
    private final Map<String, Prefix> mPrefixes =
            new LinkedHashMap<>(MAXIMUM_PREFIXES, LOAD_FACTOR, true) {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Prefix> eldest) {
                    return size() > MAXIMUM_PREFIXES;
                }
            };
    private final Prefix mTotal = new Prefix();

    private PrefixUse() {}

    static PrefixUse create() {
        return new PrefixUse();
    }

    /** Records that a prompt with the prefix was sent to an engine that prefills it. */
    void record(String prefixKey, Endpoint engine, long nowMillis) {
        if (prefixKey.isEmpty()) {
            return;
        }
        mTotal.count(nowMillis);
        Prefix prefix = mPrefixes.computeIfAbsent(prefixKey, key -> new Prefix());
        prefix.count(nowMillis);
        if (prefix.mUsedMillis.size() >= MAXIMUM_ENGINES) {
            prefix.mUsedMillis.values().removeIf(used -> nowMillis - used > HELD_MILLIS);
        }
        if (prefix.mUsedMillis.size() < MAXIMUM_ENGINES
                || prefix.mUsedMillis.containsKey(engine.name())) {
            prefix.mUsedMillis.put(engine.name(), nowMillis);
        }
    }

    /** Returns the prefix's share of this VM's prompts. */
    double share(String prefixKey, long nowMillis) {
        Prefix prefix = mPrefixes.get(prefixKey);
        return prefix == null
                ? 0
                : prefix.uses(nowMillis) / (mTotal.uses(nowMillis) + ADDITIONAL_USES);
    }

    /** Returns whether this VM has sent a prompt with the prefix to the engine a short time ago. */
    boolean wasUsedAt(String prefixKey, Endpoint engine, long nowMillis) {
        Prefix prefix = mPrefixes.get(prefixKey);
        Long used = prefix == null ? null : prefix.mUsedMillis.get(engine.name());
        return used != null && nowMillis - used <= HELD_MILLIS;
    }

    /** Returns the number of engines that are to hold a prefix with the given share. */
    static int holders(double share, int engineCount) {
        long wanted = Math.round(share * engineCount * HOLDER_RESERVE);
        return (int) Math.max(MINIMUM_HOLDERS, Math.min(engineCount, wanted));
    }

    /**
     * Returns the rank of an engine for a prefix, the same on all VMs; the lowest goes first. It is
     * needed for each engine and request, so that it does without the digests of {@link
     * org.vanilladoor.common.RendezvousRanking}.
     */
    static long rank(String prefixKey, Endpoint engine) {
        long mixed =
                ((long) prefixKey.hashCode() << Integer.SIZE)
                        ^ (engine.name().hashCode() & 0xFFFFFFFFL);
        mixed += MIX_INCREMENT;
        mixed = (mixed ^ (mixed >>> 30)) * MIX_FIRST;
        mixed = (mixed ^ (mixed >>> 27)) * MIX_SECOND;
        return mixed ^ (mixed >>> 31);
    }

    /** Decayed uses of one prefix, and when each engine got it last. */
    private static final class Prefix {
        private final Map<String, Long> mUsedMillis = new HashMap<>();
        private double mUses;
        private long mCountedMillis;

        void count(long nowMillis) {
            mUses = uses(nowMillis) + 1;
            mCountedMillis = nowMillis;
        }

        double uses(long nowMillis) {
            return mUses * Math.exp((mCountedMillis - nowMillis) / DECAY_MILLIS);
        }
    }
}
