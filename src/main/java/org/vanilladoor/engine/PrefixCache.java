package org.vanilladoor.engine;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A prefix cache with a limited number of blocks, evicting the least recently used one.
 *
 * <p>Not safe for use by several threads.
 */
public final class PrefixCache {
    private static final int INITIAL_CAPACITY = 16;
    private static final float LOAD_FACTOR = 0.75f;
    private final Map<Long, Boolean> mBlocks;

    private PrefixCache(int capacity) {
        mBlocks =
                new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
                    private static final long serialVersionUID = 1L;

                    @Override
                    protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
                        return size() > capacity;
                    }
                };
    }

    /** Returns an empty cache for the given number of blocks. */
    public static PrefixCache create(int capacity) {
        return new PrefixCache(capacity);
    }

    /**
     * Returns the number of leading blocks of a prompt that are cached, without counting as a use.
     */
    public int countCachedPrefixBlocks(List<Long> blocks) {
        int count = 0;
        for (Long block : blocks) {
            if (!mBlocks.containsKey(block)) {
                return count;
            }
            count++;
        }
        return count;
    }

    /** Adds the blocks of a prompt, or marks them as the most recently used ones. */
    public void add(List<Long> blocks) {
        blocks.forEach(block -> mBlocks.put(block, Boolean.TRUE));
    }

    /** Removes all blocks. */
    public void clear() {
        mBlocks.clear();
    }
}
