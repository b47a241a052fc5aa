package org.vanilladoor.platform;

import java.util.Optional;
import org.apache.hc.core5.http.HttpStatus;
import org.vanilladoor.common.EventLog;
import org.vanilladoor.provider.ObjectVersion;
import org.vanilladoor.provider.StoreUnavailableException;

/**
 * The era of the platform's store, which begins a new one when it returns from an older copy.
 *
 * <p>Invariants: the era never falls; a response of an earlier era, or without an era once one is
 * known, is not accepted. The era changes on the control thread only; any thread may read it.
 */
final class StoreEra {
    private static final int MAXIMUM_DIGITS = 5;

    private volatile long mLatest;
    private boolean mHasReportedUnknown;

    private StoreEra() {}

    /** Returns the era of a store that has not responded; a store without eras stays in it. */
    static StoreEra unknown() {
        return new StoreEra();
    }

    /** Returns the latest era that a response has stated. */
    long latest() {
        return mLatest;
    }

    /**
     * Accepts a response and returns its era.
     *
     * @throws StoreUnavailableException if the response is from an earlier era, or its era is
     *     unknown
     */
    long accept(PlatformCalls.Response response) {
        Optional<Long> stated = response.storeEra().flatMap(StoreEra::parse);
        if (stated.isEmpty() && response.storeEra().isPresent()) {
            reportUnknown(response);
        }
        long era = stated.orElse(0L);
        if (era > mLatest) {
            EventLog.write("store", "era.began", "era", era, "before", mLatest);
            mLatest = era;
        }
        // An unavailable store may be represented by something that knows no era.
        boolean isAnswer =
                response.status() < HttpStatus.SC_INTERNAL_SERVER_ERROR
                        && response.status() != HttpStatus.SC_TOO_MANY_REQUESTS;
        if (era < mLatest && isAnswer) {
            reportUnknown(response);
            throw new StoreUnavailableException(
                    response.description() + ": the response is not of era " + mLatest);
        }
        return mLatest;
    }

    private void reportUnknown(PlatformCalls.Response response) {
        if (!mHasReportedUnknown) {
            mHasReportedUnknown = true;
            EventLog.write(
                    "store",
                    "era.not_accepted",
                    "call",
                    response.description(),
                    "era",
                    response.storeEra().orElse(""),
                    "latest",
                    mLatest);
        }
    }

    private static Optional<Long> parse(String text) {
        boolean isNumber =
                !text.isEmpty()
                        && text.length() <= MAXIMUM_DIGITS
                        && text.chars().allMatch(digit -> digit >= '0' && digit <= '9');
        return Optional.of(text)
                .filter(ignored -> isNumber)
                .map(Long::parseLong)
                .filter(era -> era <= ObjectVersion.MAXIMUM_ERA);
    }
}
