package org.vanilladoor.common;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Ranks candidates for a scope by rendezvous hashing.
 *
 * <p>Every process that knows the same candidates computes the same ranking, and a candidate that
 * leaves moves only its own scopes. The ranking is a hint that avoids conflicts; nothing may rest
 * on it alone. Stateless and safe for use by any thread.
 */
public final class RendezvousRanking {
    private RendezvousRanking() {}

    /**
     * Returns the candidates, the preferred one first.
     *
     * @param scope what is to be placed
     * @param candidates names without duplicates
     */
    public static List<String> rank(String scope, Collection<String> candidates) {
        return candidates.stream()
                .map(name -> new Weighed(name, weight(scope, name)))
                .sorted(Comparator.comparingLong(Weighed::weight).thenComparing(Weighed::name))
                .map(Weighed::name)
                .toList();
    }

    private static long weight(String scope, String candidate) {
        return Digests.placementHash(scope + '\u0000' + candidate);
    }

    /** A candidate with its weight for a scope. */
    private record Weighed(String name, long weight) {}
}
