package org.vanilladoor.order;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.vanilladoor.common.Json;

/**
 * The open orders of a scope, kept in its lease's object.
 *
 * <p>Invariant: at most one open order per target. Immutable and safe for use by any thread.
 *
 * @param open open orders
 * @param drained endpoints at which new work is stopped for a planned change
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

    /** Returns the journal held by a lease's payload, which is empty before the first order. */
    public static OrderJournal parse(String payload) {
        return payload.isEmpty()
                ? empty()
                : Json.read(payload.getBytes(StandardCharsets.UTF_8), OrderJournal.class);
    }

    /** Returns the journal as a lease's payload. */
    public String toPayload() {
        return new String(Json.write(this), StandardCharsets.UTF_8);
    }

    /** Returns the open order of a target. */
    public Optional<OpenOrder> openFor(String target) {
        return open.stream().filter(order -> order.target().equals(target)).findFirst();
    }

    /** Returns whether an order is open. */
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
