package org.vanilladoor.gateway;

import java.util.AbstractList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import org.vanilladoor.common.Digests;

/**
 * The parts of a prompt in order, of which only the last one is not shared with other requests.
 *
 * <p>Callers may state thousands of parts. Invariant: all identifiers are in one text, so that
 * parts take about as much memory as the head of the request. Immutable and safe for use by any
 * thread.
 */
public final class PromptParts {
    /** Identifiers are hexadecimal numbers; a longer one is known by its digest. */
    private static final int MAXIMUM_IDENTIFIER_LENGTH = 64;

    private final String mIdentifiers;
    private final int[] mEnds;
    private final long mSharedTokens;

    private PromptParts(String identifiers, int[] ends, long sharedTokens) {
        mIdentifiers = identifiers;
        mEnds = ends;
        mSharedTokens = sharedTokens;
    }

    /** Returns a builder without parts. */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Returns the identifiers of the shared parts in lower case, each made when it is asked for.
     */
    List<String> sharedIdentifiers() {
        return new SharedIdentifiers();
    }

    /** Returns the identifier of the last shared part as stated, or an empty string. */
    String lastSharedIdentifier() {
        return mEnds.length < 2 ? "" : identifier(mEnds.length - 2);
    }

    /** Returns the length of the shared parts in tokens. */
    long sharedTokens() {
        return mSharedTokens;
    }

    private String identifier(int index) {
        int start = index == 0 ? 0 : mEnds[index - 1];
        String identifier = mIdentifiers.substring(start, mEnds[index]);
        return identifier.length() <= MAXIMUM_IDENTIFIER_LENGTH
                ? identifier
                : Digests.sha256(identifier);
    }

    /** A view of the identifiers. */
    private final class SharedIdentifiers extends AbstractList<String> {
        @Override
        public String get(int index) {
            if (index < 0 || index >= size()) {
                throw new IndexOutOfBoundsException(index);
            }
            return identifier(index).toLowerCase(Locale.ROOT);
        }

        @Override
        public int size() {
            return Math.max(0, mEnds.length - 1);
        }
    }

    /** Collects parts. Not safe for use by several threads. */
    public static final class Builder {
        private static final int INITIAL_PARTS = 8;
        private final StringBuilder mIdentifiers = new StringBuilder();
        private int[] mEnds = new int[INITIAL_PARTS];
        private int mCount;
        private long mTokens;
        private long mLastTokens;

        private Builder() {}

        /**
         * Adds a part.
         *
         * @param identifier identifies the prompt up to the end of this part
         * @param tokens length of the part
         */
        public Builder add(String identifier, long tokens) {
            if (mCount == mEnds.length) {
                mEnds = Arrays.copyOf(mEnds, 2 * mCount);
            }
            mIdentifiers.append(identifier);
            mEnds[mCount] = mIdentifiers.length();
            mCount++;
            mTokens += mLastTokens;
            mLastTokens = tokens;
            return this;
        }

        /** Returns the parts. */
        public PromptParts build() {
            return new PromptParts(mIdentifiers.toString(), Arrays.copyOf(mEnds, mCount), mTokens);
        }
    }
}
