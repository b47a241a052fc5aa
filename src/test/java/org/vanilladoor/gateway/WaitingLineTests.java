package org.vanilladoor.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The order in which waiting requests leave. */
class WaitingLineTests {
    private final WaitingLine mLine = WaitingLine.create();
    private final List<String> mLeft = new ArrayList<>();
    private int mRoom;

    @Test
    void thoseThatCanStillBeOnTimeGoFirstByRankAndObjective() {
        add("late", 0, 90);
        add("later objective", 0, 300);
        add("less urgent", 1, 150);
        add("sooner objective", 0, 200);
        mRoom = 4;
        mLine.advance(100);
        assertThat(mLeft)
                .containsExactly("sooner objective", "later objective", "less urgent", "late")
                .inOrder();
    }

    @Test
    void ofThoseThatWillBeLateTheOneWithTheMostTimeLeftGoesFirst() {
        add("oldest", 0, 50);
        add("newest", 0, 90);
        mRoom = 1;
        mLine.advance(100);
        assertThat(mLeft).containsExactly("newest");
        assertThat(mLine.size()).isEqualTo(1);
    }

    @Test
    void nobodyLeavesWithoutRoom() {
        add("waits", 0, 300);
        mLine.advance(100);
        assertThat(mLeft).isEmpty();
        assertThat(mLine.size()).isEqualTo(1);
    }

    private void add(String name, int rank, long objectiveMillis) {
        mLine.add(
                rank,
                objectiveMillis,
                () -> {
                    if (mRoom == 0) {
                        return false;
                    }
                    mRoom--;
                    mLeft.add(name);
                    return true;
                });
    }
}
