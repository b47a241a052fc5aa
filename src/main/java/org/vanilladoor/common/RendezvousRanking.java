package org.vanilladoor.common;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Ranks candidate owners of a scope by rendezvous hashing.
 *
 * <p>Every process that knows the same candidates computes the same ranking, and when a candidate
 * leaves, only the scopes that ranked it first move. The ranking only reduces contention: processes
 * may know different candidates, so correctness must not depend on it. Stateless and safe for use
 * by any thread.
 */
public final class RendezvousRanking {
    private RendezvousRanking() {}

    /**
     * Returns the candidates, the most preferred first.
     *
     * @param scope name of the item to be assigned to a candidate
     * @param candidates names without duplicates
     */
    public static List<String> rank(String scope, Collection<String> candidates) {
        return candidates.stream()
                .map(name -> new WeightedCandidate(name, weight(scope, name)))
                .sorted(
                        Comparator.comparingLong(WeightedCandidate::weight)
                                .thenComparing(WeightedCandidate::name))
                .map(WeightedCandidate::name)
                .toList();
    }

    private static long weight(String scope, String candidate) {
        return Digests.placementHash(scope + '\u0000' + candidate);
    }

    /** A candidate with its weight for a scope; a lower weight ranks first. */
    private record WeightedCandidate(String name, long weight) {}
}
