package org.vanilladoor.common;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.vanilladoor.common.CallerActivity.Candidate;
import org.vanilladoor.common.CallerActivity.Reason;

/** Guards against a full process that closes the connections of ordinary callers. */
class CallerActivityTests {
    private final CallerActivity mActivity = CallerActivity.openedAt(1_000);

    @Test
    void aCallerThatWaitsForItsResponseKeepsItsConnection() {
        mActivity.startRequest(1_050);
        assertThat(mActivity.candidate(60_000)).isEmpty();
    }

    @Test
    void aConnectionThatIsKeptForTwelveSecondsIsNotClosedBefore() {
        mActivity.startRequest(1_050);
        mActivity.completeResponse(2_000);
        assertThat(mActivity.candidate(13_999)).isEmpty();
        assertThat(mActivity.candidate(14_000)).hasValue(new Candidate(Reason.IDLE, 2_000));
    }

    @Test
    void aConnectionWithoutARequestIsClosedAfterAMoment() {
        assertThat(mActivity.candidate(1_099)).isEmpty();
        assertThat(mActivity.candidate(1_100)).hasValue(new Candidate(Reason.NO_REQUEST, 1_000));
    }

    @Test
    void aResponseThatIsReadSlowlyIsNotUnread() {
        mActivity.startRequest(1_050);
        mActivity.recordWrite(500, false, 2_000);
        mActivity.recordWrite(1, false, 2_900);
        mActivity.recordWrite(0, false, 3_800);
        assertThat(mActivity.candidate(3_899)).isEmpty();
        assertThat(mActivity.candidate(3_900))
                .hasValue(new Candidate(Reason.UNREAD_RESPONSE, 2_900));
    }

    @Test
    void aConnectionThatCarriedRequestsSentAheadIsNotKeptForLong() {
        mActivity.startRequest(1_050);
        mActivity.setReadAhead(true);
        mActivity.setReadAhead(false);
        mActivity.completeResponse(2_000);
        assertThat(mActivity.candidate(2_999)).isEmpty();
        assertThat(mActivity.candidate(3_000)).hasValue(new Candidate(Reason.IDLE, 2_000));
    }

    @Test
    void requestsSentAheadAreAReasonToCloseAfterAllOthers() {
        mActivity.startRequest(1_050);
        mActivity.setReadAhead(true);
        Candidate ahead = mActivity.candidate(1_060).orElseThrow();
        assertThat(ahead.reason()).isEqualTo(Reason.REQUEST_SENT_AHEAD);
        assertThat(
                        List.of(ahead, new Candidate(Reason.NO_REQUEST, 9_000)).stream()
                                .sorted()
                                .findFirst()
                                .orElseThrow()
                                .reason())
                .isEqualTo(Reason.NO_REQUEST);
    }
}
