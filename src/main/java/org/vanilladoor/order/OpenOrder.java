package org.vanilladoor.order;

import java.util.Objects;

/**
 * An order that was written to the journal and is not known to have taken effect or failed.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param identifier unique identifier of the order
 * @param target endpoint that receives the order, or a name that stands for the platform
 * @param content what the target has to do, such as the name of a role
 * @param term term of the lease under which it was written
 * @param writer incarnation of the process that wrote it, which alone may send it
 * @param checksTerms whether the target refuses orders with an outdated term
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
