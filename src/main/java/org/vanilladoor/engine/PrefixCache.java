package org.vanilladoor.engine;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A prefix cache with a limited number of blocks, the least recently used going first.
 *
 * <p>Not safe for use by several threads.
 */
public final class PrefixCache {
    private static final float LOAD_FACTOR = 0.75f;
    private final Map<Long, Boolean> mBlocks;

    private PrefixCache(int capacity) {
        mBlocks =
                new LinkedHashMap<>(16, LOAD_FACTOR, true) {
                    private static final long serialVersionUID = 1L;

                    @Override
                    protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
                        return size() > capacity;
                    }
                };
    }

    /** Returns an empty cache of the given number of blocks. */
    public static PrefixCache create(int capacity) {
        return new PrefixCache(capacity);
    }

    /** Returns how many leading blocks of a prompt are held. */
    public int leadingBlocks(List<Long> blocks) {
        int count = 0;
        for (Long block : blocks) {
            if (!mBlocks.containsKey(block)) {
                return count;
            }
            count++;
        }
        return count;
    }

    /** Holds the blocks of a prompt as the most recently used ones. */
    public void add(List<Long> blocks) {
        blocks.forEach(block -> mBlocks.put(block, Boolean.TRUE));
    }

    /** Drops everything. */
    public void clear() {
        mBlocks.clear();
    }
}
