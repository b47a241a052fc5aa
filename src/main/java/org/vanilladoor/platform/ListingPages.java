package org.vanilladoor.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;
import org.vanilladoor.common.EventLog;
import org.vanilladoor.common.MemoryBudget;
import org.vanilladoor.provider.StoreUnavailableException;

/**
 * The pages of a listing that have been received.
 *
 * <p>Invariants: all pages are of one era of the store; what is kept of them is charged to the
 * memory of all messages, and no more than {@link #MAXIMUM_BYTES}. Confined to the control thread.
 */
final class ListingPages implements AutoCloseable {
    /** Maximum memory of the objects of a listing; a fleet of 840 endpoints takes about 1 MB. */
    static final int MAXIMUM_BYTES = 16 * 1024 * 1024;

    private final String mKind;
    private final String mQuery;
    private final JsonSelection mSelection;
    private final Predicate<JsonNode> mIsOfUse;
    private final MemoryBudget.Account mAccount;
    private final List<JsonNode> mFound = new ArrayList<>();
    private final Set<String> mContinuations = new HashSet<>();
    private String mAfter = "";
    private String mLastName = "";
    private int mBytes;
    private int mDropped;
    private OptionalLong mEra = OptionalLong.empty();

    private ListingPages(
            String kind,
            String query,
            JsonSelection selection,
            Predicate<JsonNode> isOfUse,
            MemoryBudget.Account account) {
        mKind = kind;
        mQuery = query;
        mSelection = selection;
        mIsOfUse = isOfUse;
        mAccount = account;
    }

    /**
     * Returns a listing of which no page has been received.
     *
     * @param kind kind of the objects
     * @param query query of each page, or an empty string
     * @param selection what is kept of each object
     * @param isOfUse whether an object is kept
     * @param account account of the memory that the objects take
     */
    static ListingPages create(
            String kind,
            String query,
            JsonSelection selection,
            Predicate<JsonNode> isOfUse,
            MemoryBudget.Account account) {
        return new ListingPages(kind, query, selection, isOfUse, account);
    }

    String kind() {
        return mKind;
    }

    JsonSelection selection() {
        return mSelection;
    }

    /** Returns the objects that are kept. */
    List<JsonNode> found() {
        return mFound;
    }

    /** Returns the kind and the query of the next page, encoded. */
    String target() {
        String query =
                mAfter.isEmpty()
                        ? mQuery
                        : mQuery
                                + (mQuery.isEmpty() ? "" : "&")
                                + "after="
                                + ObjectNames.encode(mAfter);
        return ObjectNames.encode(mKind) + (query.isEmpty() ? "" : "?" + query);
    }

    /**
     * Checks that a page is of the same era as those before.
     *
     * @throws StoreUnavailableException if it is not
     */
    void requireEra(long era) {
        if (mEra.isPresent() && mEra.getAsLong() != era) {
            throw new StoreUnavailableException(
                    "a new era of the store began during the listing of " + mKind);
        }
        mEra = OptionalLong.of(era);
    }

    /** Adds an object of a page, if it is of use and there is room. */
    void add(StoreEntry entry) {
        String name = ObjectClient.nameOf(entry.content());
        mLastName = name.isEmpty() ? mLastName : name;
        if (!mIsOfUse.test(entry.content())) {
            return;
        }
        if (mBytes + entry.bytes() > MAXIMUM_BYTES) {
            mDropped++;
            return;
        }
        mFound.add(entry.content());
        mBytes += entry.bytes();
        mAccount.resize(mBytes);
    }

    /**
     * Continues after the last name that can be read; returns false if that would request a page
     * again. Entries after that name are repeated on the next page.
     */
    boolean advance() {
        mAfter = mLastName;
        return !mAfter.isEmpty() && mContinuations.add(mAfter);
    }

    void logDropped() {
        if (mDropped > 0) {
            EventLog.write(
                    "store",
                    "listing.too_large",
                    "kind",
                    mKind,
                    "kept",
                    mFound.size(),
                    "dropped",
                    mDropped);
        }
    }

    /** Gives the memory back; the objects belong to whoever has taken them. */
    @Override
    public void close() {
        mAccount.close();
    }
}
