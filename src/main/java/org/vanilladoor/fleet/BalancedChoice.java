package org.vanilladoor.fleet;

import java.util.random.RandomGenerator;

/**
 * Draws one of several endpoints so that many VMs that see the same late loads do not all choose
 * the same endpoint.
 *
 * <p>The work that arrives until newer loads are known is spread over the endpoints so that all
 * that get some would end at the same time; each endpoint is drawn with its part of that work. With
 * little such work, only the endpoints that end first are drawn; with much of it, each endpoint by
 * its capacity. Stateless and safe for use by any thread.
 */
final class BalancedChoice {
    private BalancedChoice() {}

    /**
     * Returns the index of the endpoint that was drawn.
     *
     * @param endMillis expected time until each endpoint would have ended the request; infinite for
     *     one that must not be drawn
     * @param capacities work that each endpoint does in a unit of time
     * @param spreadMillis work that arrives until newer loads are known, as the time in which all
     *     endpoints together do it; more than 0
     */
    static int choose(
            double[] endMillis, double[] capacities, double spreadMillis, RandomGenerator random) {
        double level = level(endMillis, capacities, spreadMillis);
        double total = 0;
        for (int index = 0; index < endMillis.length; index++) {
            total += part(endMillis[index], capacities[index], level);
        }
        double draw = random.nextDouble() * total;
        int chosen = 0;
        for (int index = 0; index < endMillis.length; index++) {
            double part = part(endMillis[index], capacities[index], level);
            if (part > 0) {
                chosen = index;
                draw -= part;
                if (draw < 0) {
                    break;
                }
            }
        }
        return chosen;
    }

    /** Returns the time at which all endpoints that get some of the work would end. */
    private static double level(double[] endMillis, double[] capacities, double spreadMillis) {
        double totalCapacity = 0;
        for (int index = 0; index < endMillis.length; index++) {
            totalCapacity += Double.isInfinite(endMillis[index]) ? 0 : capacities[index];
        }
        double work = spreadMillis * totalCapacity;
        double level = Double.POSITIVE_INFINITY;
        // Each pass leaves out the endpoints that would end after the level of the last one.
        for (int pass = 0; pass < endMillis.length; pass++) {
            double sum = work;
            double capacity = 0;
            for (int index = 0; index < endMillis.length; index++) {
                if (endMillis[index] < level) {
                    sum += endMillis[index] * capacities[index];
                    capacity += capacities[index];
                }
            }
            double next = sum / capacity;
            if (next >= level) {
                break;
            }
            level = next;
        }
        return level;
    }

    private static double part(double endMillis, double capacity, double level) {
        return endMillis < level ? capacity * (level - endMillis) : 0;
    }
}
