package org.vanilladoor.usage;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/**
 * Random counts, late and repeated copies of counts, and several processes that seal the same
 * windows.
 */
class UsageFuzzTests {
    private static final int MAXIMUM_ACTION = 1_000_000;

    @Property(tries = 2000, seed = "4401")
    void everyCountIsReportedOnceEvenIfItsCopiesArriveLate(
            @ForAll @Size(min = 20, max = 120)
                    List<@IntRange(min = 0, max = MAXIMUM_ACTION) Integer> script) {
        Simulation simulation = new Simulation();
        script.forEach(simulation::perform);
        simulation.assertEveryCountIsReportedOnce();
    }

    /** Several processes that count and seal, and the windows they sealed. */
    private static final class Simulation {
        private static final int PROCESSES = 3;
        private static final List<String> TEAMS = List.of("harbour", "mutrah", "qurum");
        private final List<UsageCounters> mProcesses = new ArrayList<>();
        private final Map<String, Long> mCounted = new HashMap<>();
        private final List<SealedWindow> mSealed = new ArrayList<>();
        private long mWindow = 1_000;

        Simulation() {
            for (int i = 0; i < PROCESSES; i++) {
                mProcesses.add(UsageCounters.create("process-" + i));
            }
            mSealed.add(SealedWindow.before(mWindow));
        }

        /** Decodes a random number into a process, an action and its detail, and performs it. */
        void perform(int actionNumber) {
            UsageCounters process = mProcesses.get(actionNumber / 8 % PROCESSES);
            int detail = actionNumber / 32;
            switch (actionNumber % 8) {
                case 0, 1, 2 -> count(process, detail);
                case 3, 4 -> copy(process, mProcesses.get(detail % PROCESSES));
                case 5, 6 -> seal(process);
                default -> mWindow++;
            }
        }

        void assertEveryCountIsReportedOnce() {
            mProcesses.forEach(process -> mProcesses.forEach(other -> copy(process, other)));
            mWindow++;
            while (lastSealed().window() < mWindow) {
                seal(mProcesses.get(0));
            }
            Map<String, Long> reported = new HashMap<>();
            mSealed.forEach(
                    window ->
                            window.figures()
                                    .forEach(
                                            (team, counts) ->
                                                    reported.merge(
                                                            team,
                                                            counts.outputTokens(),
                                                            Long::sum)));
            assertWithMessage("reported tokens").that(reported).isEqualTo(mCounted);
        }

        private void count(UsageCounters process, int detail) {
            String team = TEAMS.get(detail % TEAMS.size());
            long tokens = 1 + detail % 50;
            process.add(mWindow, team, new TeamCounts(1, 0, tokens));
            mCounted.merge(team, tokens, Long::sum);
        }

        private static void copy(UsageCounters from, UsageCounters to) {
            from.snapshot().forEach(to::merge);
        }

        /** Seals the next window of all shards, using the counts of one process. */
        private void seal(UsageCounters process) {
            if (lastSealed().window() + 1 > mWindow) {
                return;
            }
            Map<String, TeamCounts> figures = new HashMap<>();
            Map<String, TeamCounts> accounted = new HashMap<>();
            for (int shard = 0; shard < SealedWindow.SHARDS; shard++) {
                SealedWindow next = lastSealed().sealNext(shard, process.snapshot());
                figures.putAll(next.figures());
                next.accounted()
                        .forEach((key, mark) -> accounted.merge(key, mark, TeamCounts::max));
            }
            mSealed.add(new SealedWindow(lastSealed().window() + 1, figures, accounted));
        }

        private SealedWindow lastSealed() {
            return mSealed.get(mSealed.size() - 1);
        }
    }
}
