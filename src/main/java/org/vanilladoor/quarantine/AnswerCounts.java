package org.vanilladoor.quarantine;

/**
 * About how many requests with each prompt part were answered on this VM, however long ago.
 *
 * <p>Counts are kept by hash, so that memory does not grow with the number of parts. A count may be
 * too high, if parts share cells, and is halved now and then, so that parts that are no longer used
 * are forgotten. Confined to the control thread.
 */
final class AnswerCounts {
    private static final int ROWS = 4;
    private static final int CELLS_PER_ROW = 1 << 16;
    private static final int MAXIMUM_COUNT = Byte.MAX_VALUE;

    /** Number of additions between halvings; few enough that most cells of a row are empty. */
    private static final int ADDITIONS_PER_HALVING = CELLS_PER_ROW / 4;

    private final byte[][] mRows = new byte[ROWS][CELLS_PER_ROW];
    private int mAdditions;

    private AnswerCounts() {}

    /** Returns counts that are all zero. */
    static AnswerCounts create() {
        return new AnswerCounts();
    }

    /** Counts an answer to a request with the part. */
    void add(String part) {
        int count = count(part);
        if (count == MAXIMUM_COUNT) {
            return;
        }
        for (int row = 0; row < ROWS; row++) {
            int cell = cell(part, row);
            mRows[row][cell] = (byte) Math.max(mRows[row][cell], count + 1);
        }
        mAdditions++;
        if (mAdditions == ADDITIONS_PER_HALVING) {
            mAdditions = 0;
            halve();
        }
    }

    /** Returns about how many requests with the part were answered. */
    int count(String part) {
        int count = MAXIMUM_COUNT;
        for (int row = 0; row < ROWS; row++) {
            count = Math.min(count, mRows[row][cell(part, row)]);
        }
        return count;
    }

    private void halve() {
        for (byte[] row : mRows) {
            for (int cell = 0; cell < row.length; cell++) {
                row[cell] /= 2;
            }
        }
    }

    private static int cell(String part, int row) {
        // Two halves of a well mixed hash give independent cells in each row.
        long hash = mix(part.hashCode() * 31L + part.length());
        int step = (int) (hash >>> 32) | 1;
        return ((int) hash + row * step >>> 8) & CELLS_PER_ROW - 1;
    }

    private static long mix(long value) {
        long mixed = (value ^ value >>> 33) * 0xff51afd7ed558ccdL;
        mixed = (mixed ^ mixed >>> 33) * 0xc4ceb9fe1a85ec53L;
        return mixed ^ mixed >>> 33;
    }
}
