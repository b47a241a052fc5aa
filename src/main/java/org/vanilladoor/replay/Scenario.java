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
 * Scenarios from which traces with random arrivals are generated.
 *
 * <p>A trace has calls of two classes of the first model: chat calls with short prompts and long
 * responses, and reading calls with long prompts and short responses. Arrivals are Poisson
 * distributed, and each team's rate is proportional to its share. Rates are given by the time in
 * seconds from the beginning of the trace. The same scenario, targets and seed give the same trace.
 * Immutable and safe for use by any thread.
 */
public enum Scenario {
    /**
     * The load changes from mostly prefill (reading calls) to mostly decode (chat calls) within
     * three minutes, and back.
     */
    SWING(480) {
        @Override
        double readingCallsPerSecond(double second) {
            return interpolate(20.1, 0.8, swingFraction(second));
        }

        @Override
        double chatCallsPerSecond(double second) {
            return interpolate(8.6, 44.5, swingFraction(second));
        }
    },
    /** The last team sends ten times its share; the load of the others does not change. */
    GREEDY_TEAM(180) {
        @Override
        double readingCallsPerSecond(double second) {
            return 1.5;
        }

        @Override
        double chatCallsPerSecond(double second) {
            return 16;
        }

        @Override
        double lastTeamLoadFactor(double second) {
            return second > 30 ? 10 : 1;
        }
    },
    /** From second 40 to 130, retries arrive at three times the rate of first attempts. */
    RETRY_STORM(180) {
        @Override
        double readingCallsPerSecond(double second) {
            return 2;
        }

        @Override
        double chatCallsPerSecond(double second) {
            return 20;
        }

        @Override
        double retriesPerCall(double second) {
            return second > 40 && second < 130 ? 3 : 0;
        }
    },
    /** The reclaimable endpoints of a failure domain are terminated at three seconds' notice. */
    RECLAIMED(240) {
        @Override
        double readingCallsPerSecond(double second) {
            return 6;
        }

        @Override
        double chatCallsPerSecond(double second) {
            return 10;
        }

        @Override
        List<TraceEvent> createFaults(List<String> failureDomains) {
            return List.of(
                    TraceEvent.fault(
                            90_000, TraceEvent.Kind.RECLAIM, failureDomains.get(0), 3_000));
        }
    },
    /** Load reports lag by five seconds, and an engine crashes. */
    LAGGING(180) {
        @Override
        double readingCallsPerSecond(double second) {
            return 4;
        }

        @Override
        double chatCallsPerSecond(double second) {
            return 16;
        }

        @Override
        List<TraceEvent> createFaults(List<String> failureDomains) {
            return List.of(
                    TraceEvent.fault(10_000, TraceEvent.Kind.LAG_LOADS, "", 5_000),
                    TraceEvent.fault(90_000, TraceEvent.Kind.LOSE_ENDPOINT, "engine-1", 0));
        }
    },
    /** Mostly reading calls, with a few chat calls beside them. */
    NIGHT(300) {
        @Override
        double readingCallsPerSecond(double second) {
            return 11;
        }

        @Override
        double chatCallsPerSecond(double second) {
            return 4;
        }
    };

    private static final double STEADY_PHASE_SECONDS = 60;
    private static final double SWING_SECONDS = 180;
    private static final int MEAN_READING_PROMPT_TOKENS = 4_000;
    private static final int MEAN_READING_OUTPUT_TOKENS = 20;
    private static final int MEAN_CHAT_PROMPT_TOKENS = 400;
    private static final int MEAN_CHAT_OUTPUT_TOKENS = 150;

    /** Largest deviation of a length from its mean, as a share of the mean. */
    private static final double LENGTH_VARIATION = 0.5;

    private static final double MILLIS_PER_SECOND = 1_000.0;
    private static final int SHARED_PREFIXES = 12;
    private static final int SHARED_PREFIX_TOKENS = 256;
    private final int mDurationSeconds;

    Scenario(int durationSeconds) {
        mDurationSeconds = durationSeconds;
    }

    /** Returns the scenario with the given {@link #commandLineName()}. */
    public static Optional<Scenario> named(String name) {
        for (Scenario scenario : values()) {
            if (scenario.commandLineName().equals(name)) {
                return Optional.of(scenario);
            }
        }
        return Optional.empty();
    }

    /** Returns the name used on the command line: lower case, with dashes. */
    public String commandLineName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /**
     * Generates a trace.
     *
     * @param targets define the teams and classes of work
     * @param failureDomains names of the failure domains
     * @param seed seed of the random arrivals and lengths
     */
    public List<TraceEvent> createTrace(Targets targets, List<String> failureDomains, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Team> teams = targets.teams();
        String chatClass = targets.models().get(0).classes().get(0);
        String readingClass = targets.models().get(0).classes().get(1);
        List<TraceEvent> events = new ArrayList<>(createFaults(failureDomains));
        for (int second = 0; second < mDurationSeconds; second++) {
            addCalls(events, random, teams, chatClass, second, chatCallsPerSecond(second));
            addCalls(events, random, teams, readingClass, second, readingCallsPerSecond(second));
        }
        events.sort(Comparator.comparingLong(TraceEvent::at));
        return events;
    }

    abstract double readingCallsPerSecond(double second);

    abstract double chatCallsPerSecond(double second);

    /** Returns the factor by which the last team exceeds its share of the load. */
    double lastTeamLoadFactor(double second) {
        return 1;
    }

    /** Returns the mean number of retries for each first attempt. */
    double retriesPerCall(double second) {
        return 0;
    }

    List<TraceEvent> createFaults(List<String> failureDomains) {
        return List.of();
    }

    private void addCalls(
            List<TraceEvent> events,
            SplittableRandom random,
            List<Team> teams,
            String workClass,
            int second,
            double perSecond) {
        double totalShare = teams.stream().mapToDouble(Team::share).sum();
        for (int i = 0; i < teams.size(); i++) {
            double loadFactor = i == teams.size() - 1 ? lastTeamLoadFactor(second) : 1;
            double meanCalls = perSecond * teams.get(i).share() / totalShare * loadFactor;
            int count = poisson(random, meanCalls);
            for (int n = 0; n < count; n++) {
                events.add(createCall(random, teams.get(i).name(), workClass, second, false));
            }
            int retries = poisson(random, meanCalls * retriesPerCall(second));
            for (int n = 0; n < retries; n++) {
                events.add(createCall(random, teams.get(i).name(), workClass, second, true));
            }
        }
    }

    private static TraceEvent createCall(
            SplittableRandom random, String team, String workClass, int second, boolean isRetry) {
        boolean isReading = workClass.equals("reading") || workClass.equals("allergen-check");
        long at = (long) ((second + random.nextDouble()) * MILLIS_PER_SECOND);
        int promptTokens =
                randomLength(
                        random, isReading ? MEAN_READING_PROMPT_TOKENS : MEAN_CHAT_PROMPT_TOKENS);
        return TraceEvent.call(
                at,
                team,
                workClass,
                promptTokens,
                randomLength(
                        random, isReading ? MEAN_READING_OUTPUT_TOKENS : MEAN_CHAT_OUTPUT_TOKENS),
                "menu-" + random.nextInt(SHARED_PREFIXES),
                Math.min(promptTokens, SHARED_PREFIX_TOKENS),
                isRetry);
    }

    /**
     * Returns a length that varies uniformly by {@link #LENGTH_VARIATION} around the mean, at least
     * 1.
     */
    private static int randomLength(SplittableRandom random, int mean) {
        return (int) Math.max(1, mean * (1 + LENGTH_VARIATION * (2 * random.nextDouble() - 1)));
    }

    /** Draws from a Poisson distribution by Knuth's method. */
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

    /**
     * Returns 0 before the first ramp, 1 between the two ramps and 0 after the second one, and
     * changes linearly on the ramps.
     */
    private static double swingFraction(double second) {
        double rise = (second - STEADY_PHASE_SECONDS) / SWING_SECONDS;
        double fall = (second - 2 * STEADY_PHASE_SECONDS - SWING_SECONDS) / SWING_SECONDS;
        return Math.max(0, Math.min(1, rise)) - Math.max(0, Math.min(1, fall));
    }

    private static double interpolate(double start, double end, double fraction) {
        return start + (end - start) * fraction;
    }
}
