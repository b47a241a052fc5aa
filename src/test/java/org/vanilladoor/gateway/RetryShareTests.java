package org.vanilladoor.gateway;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** The bound on repeats over all VMs, each of which knows only its own requests. */
class RetryShareTests {
    private static final double RATIO = 0.2;
    private static final double EXTRA = 40;
    private static final long WINDOW_MILLIS = 10_000;
    private static final int MACHINES = 5;

    @Property(tries = 400, seed = "8101")
    void repeatsOfAllMachinesStayWithinTheBudgetInEveryWindow(
            @ForAll @Size(min = 50, max = 400)
                    List<@IntRange(min = 0, max = 1_000_000) Integer> script) {
        List<RetryShare> shares = new ArrayList<>();
        for (int machine = 0; machine < MACHINES; machine++) {
            shares.add(RetryShare.create(RATIO, EXTRA, WINDOW_MILLIS));
        }
        List<Long> first = new ArrayList<>();
        List<Long> repeats = new ArrayList<>();
        long now = 0;
        for (int number : script) {
            now += number / 100 % 300;
            RetryShare share = shares.get(number % MACHINES);
            if (number / 10 % 3 == 0) {
                share.firstTry(now);
                first.add(now);
            } else if (share.tryRepeat(MACHINES, now)) {
                repeats.add(now);
            }
        }
        for (long end : repeats) {
            long inWindow = count(repeats, end);
            double allowed = RATIO * count(first, end) + EXTRA;
            assertWithMessage("repeats in the window that ends at " + end)
                    .that((double) inWindow)
                    .isAtMost(allowed);
        }
    }

    private static long count(List<Long> times, long end) {
        return times.stream().filter(time -> time > end - WINDOW_MILLIS && time <= end).count();
    }
}
