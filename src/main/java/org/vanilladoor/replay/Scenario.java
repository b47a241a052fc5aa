package org.vanilladoor.replay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.SplittableRandom;
import org.vanilladoor.configuration.Targets;
import org.vanilladoor.configuration.Team;

/**
 * Scenarios that traces are made for.
 *
 * <p>The same scenario, targets and seed make the same trace. Immutable and safe for use by any
 * thread.
 */
public enum Scenario {
    /** The mix swings from mostly prompts to mostly answers within three minutes, and back. */
    SWING(480) {
        @Override
        double readingsPerSecond(double second) {
            return between(20.1, 0.8, swing(second));
        }

        @Override
        double chatsPerSecond(double second) {
            return between(8.6, 44.5, swing(second));
        }
    },
    /** One team sends ten times its share, the others go on as usual. */
    GREEDY_TEAM(180) {
        @Override
        double readingsPerSecond(double second) {
            return 1.5;
        }

        @Override
        double chatsPerSecond(double second) {
            return 16;
        }

        @Override
        double greed(double second) {
            return second > 30 ? 10 : 1;
        }
    },
    /** Repeats come at three times the rate of first tries for a while. */
    RETRY_STORM(180) {
        @Override
        double readingsPerSecond(double second) {
            return 2;
        }

        @Override
        double chatsPerSecond(double second) {
            return 20;
        }

        @Override
        double repeatsPerCall(double second) {
            return second > 40 && second < 130 ? 3 : 0;
        }
    },
    /** A failure domain's reclaimable endpoints go at three seconds' notice. */
    RECLAIMED(240) {
        @Override
        double readingsPerSecond(double second) {
            return 6;
        }

        @Override
        double chatsPerSecond(double second) {
            return 10;
        }

        @Override
        List<TraceEvent> faults(List<String> failureDomains) {
            return List.of(
                    TraceEvent.fault(
                            90_000, TraceEvent.Kind.RECLAIM, failureDomains.get(0), 3_000));
        }
    },
    /** Load reports lag five seconds and an engine is lost. */
    LAGGING(180) {
        @Override
        double readingsPerSecond(double second) {
            return 4;
        }

        @Override
        double chatsPerSecond(double second) {
            return 16;
        }

        @Override
        List<TraceEvent> faults(List<String> failureDomains) {
            return List.of(
                    TraceEvent.fault(10_000, TraceEvent.Kind.LAG_LOADS, "", 5_000),
                    TraceEvent.fault(90_000, TraceEvent.Kind.LOSE_ENDPOINT, "engine-1", 0));
        }
    },
    /** A night of long readings beside counter chat. */
    NIGHT(300) {
        @Override
        double readingsPerSecond(double second) {
            return 11;
        }

        @Override
        double chatsPerSecond(double second) {
            return 4;
        }
    };

    private static final double PHASE_SECONDS = 60;
    private static final double SWING_SECONDS = 180;
    private static final int READING_PROMPT = 4_000;
    private static final int READING_OUTPUT = 20;
    private static final int CHAT_PROMPT = 400;
    private static final int CHAT_OUTPUT = 150;
    private static final double SPREAD = 0.5;
    private static final double MILLIS_PER_SECOND = 1_000.0;
    private static final int MENUS = 12;
    private static final int MENU_TOKENS = 256;
    private final int mSeconds;

    Scenario(int seconds) {
        mSeconds = seconds;
    }

    /** Returns the scenario of that name, written with dashes. */
    public static Optional<Scenario> named(String name) {
        for (Scenario scenario : values()) {
            if (scenario.fileName().equals(name)) {
                return Optional.of(scenario);
            }
        }
        return Optional.empty();
    }

    /** Returns the name written with dashes. */
    public String fileName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /**
     * Returns a trace.
     *
     * @param targets names the teams and classes
     * @param failureDomains names the failure domains
     * @param seed the same seed makes the same trace
     */
    public List<TraceEvent> createTrace(Targets targets, List<String> failureDomains, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Team> teams = targets.teams();
        String chat = targets.models().get(0).classes().get(0);
        String reading = targets.models().get(0).classes().get(1);
        List<TraceEvent> events = new ArrayList<>(faults(failureDomains));
        for (int second = 0; second < mSeconds; second++) {
            add(events, random, teams, chat, second, chatsPerSecond(second));
            add(events, random, teams, reading, second, readingsPerSecond(second));
        }
        events.sort(Comparator.comparingLong(TraceEvent::at));
        return events;
    }

    abstract double readingsPerSecond(double second);

    abstract double chatsPerSecond(double second);

    double greed(double second) {
        return 1;
    }

    double repeatsPerCall(double second) {
        return 0;
    }

    List<TraceEvent> faults(List<String> failureDomains) {
        return List.of();
    }

    private void add(
            List<TraceEvent> events,
            SplittableRandom random,
            List<Team> teams,
            String workClass,
            int second,
            double perSecond) {
        double shares = teams.stream().mapToDouble(Team::share).sum();
        for (int i = 0; i < teams.size(); i++) {
            double factor = i == teams.size() - 1 ? greed(second) : 1;
            double mean = perSecond * teams.get(i).share() / shares * factor;
            int count = poisson(random, mean);
            for (int n = 0; n < count; n++) {
                events.add(call(random, teams.get(i).name(), workClass, second, false));
            }
            int repeats = poisson(random, mean * repeatsPerCall(second));
            for (int n = 0; n < repeats; n++) {
                events.add(call(random, teams.get(i).name(), workClass, second, true));
            }
        }
    }

    private static TraceEvent call(
            SplittableRandom random, String team, String workClass, int second, boolean repeat) {
        boolean reading = workClass.equals("reading") || workClass.equals("allergen-check");
        long at = (long) ((second + random.nextDouble()) * MILLIS_PER_SECOND);
        int prompt = spread(random, reading ? READING_PROMPT : CHAT_PROMPT);
        return TraceEvent.call(
                at,
                team,
                workClass,
                prompt,
                spread(random, reading ? READING_OUTPUT : CHAT_OUTPUT),
                "menu-" + random.nextInt(MENUS),
                Math.min(prompt, MENU_TOKENS),
                repeat);
    }

    private static int spread(SplittableRandom random, int mean) {
        return (int) Math.max(1, mean * (1 + SPREAD * (2 * random.nextDouble() - 1)));
    }

    private static int poisson(SplittableRandom random, double mean) {
        double limit = Math.exp(-mean);
        double product = random.nextDouble();
        int count = 0;
        while (product > limit) {
            product *= random.nextDouble();
            count++;
        }
        return count;
    }

    private static double swing(double second) {
        double there = (second - PHASE_SECONDS) / SWING_SECONDS;
        double back = (second - 2 * PHASE_SECONDS - SWING_SECONDS) / SWING_SECONDS;
        return Math.max(0, Math.min(1, there)) - Math.max(0, Math.min(1, back));
    }

    private static double between(double first, double second, double share) {
        return first + (second - first) * share;
    }
}
