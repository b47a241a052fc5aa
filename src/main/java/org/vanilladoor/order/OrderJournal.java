package org.vanilladoor.order;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.vanilladoor.common.Json;

/**
 * The open orders of a scope, stored as the payload of the scope's lease.
 *
 * <p>Invariant: at most one open order per target. Immutable and safe for use by any thread.
 *
 * @param open open orders
 * @param drained endpoints at which new work is stopped because of a planned change
 * @param nextNumber number of the next order, unique within the scope
 */
public record OrderJournal(List<OpenOrder> open, List<String> drained, long nextNumber) {
    public OrderJournal {
        open = List.copyOf(open);
        drained = List.copyOf(drained);
    }

    /** Returns a journal without orders. */
    public static OrderJournal empty() {
        return new OrderJournal(List.of(), List.of(), 1);
    }

    /** Parses a lease's payload; an empty payload stands for a journal without orders. */
    public static OrderJournal parse(String payload) {
        return payload.isEmpty()
                ? empty()
                : Json.read(payload.getBytes(StandardCharsets.UTF_8), OrderJournal.class);
    }

    /** Returns the journal in the form of a lease's payload. */
    public String toPayload() {
        return new String(Json.write(this), StandardCharsets.UTF_8);
    }

    /** Returns the open order of a target, or empty if it has none. */
    public Optional<OpenOrder> openFor(String target) {
        return open.stream().filter(order -> order.target().equals(target)).findFirst();
    }

    /** Returns whether the journal contains an open order with the identifier. */
    public boolean isOpen(String identifier) {
        return open.stream().anyMatch(order -> order.identifier().equals(identifier));
    }

    OrderJournal with(OpenOrder order) {
        List<OpenOrder> orders = new ArrayList<>();
        open.stream().filter(each -> !each.target().equals(order.target())).forEach(orders::add);
        orders.add(order);
        return new OrderJournal(orders, drained, nextNumber + 1);
    }

    OrderJournal without(Predicate<OpenOrder> settled) {
        return new OrderJournal(
                open.stream().filter(settled.negate()).toList(), drained, nextNumber);
    }

    OrderJournal withDrained(String endpoint) {
        List<String> endpoints = new ArrayList<>(drained);
        if (!endpoints.contains(endpoint)) {
            endpoints.add(endpoint);
        }
        return new OrderJournal(open, endpoints, nextNumber);
    }

    OrderJournal withoutDrained(String endpoint) {
        return new OrderJournal(
                open, drained.stream().filter(each -> !each.equals(endpoint)).toList(), nextNumber);
    }
}
