package org.vanilladoor.order;

import java.util.Objects;

/**
 * An order that was written and is not known to be settled.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param identifier unique identifier
 * @param target endpoint that gets the order, or a name for the platform's fleet
 * @param content what is ordered
 * @param term term of the lease under which it was written
 * @param writer incarnation of the process that wrote it and alone may send it
 * @param checksTerms whether the target refuses orders with an old term
 */
public record OpenOrder(
        String identifier,
        String target,
        String content,
        long term,
        String writer,
        boolean checksTerms) {
    public OpenOrder {
        Objects.requireNonNull(identifier, "identifier");
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(content, "content");
        Objects.requireNonNull(writer, "writer");
    }
}
