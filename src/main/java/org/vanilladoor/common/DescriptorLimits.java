package org.vanilladoor.common;

import com.sun.management.UnixOperatingSystemMXBean;
import java.lang.management.ManagementFactory;

/**
 * How the file descriptors of a process are divided, as far as its heap allows.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param callerConnections maximum number of callers' connections
 * @param ownConnections maximum number of connections to endpoints and the platform
 */
public record DescriptorLimits(int callerConnections, int ownConnections) {
    /** Connections for readiness checks and metrics. */
    public static final int OPERATOR_CONNECTIONS = 32;

    /** The platform's share for files, such as those of the program itself. */
    private static final int FILES = 200;

    /**
     * Share of the connections that callers may have. Each of them may need one to an endpoint at a
     * time; the rest is for idle connections and for calls to the platform, as under the lease.
     */
    private static final double CALLER_SHARE = 0.4;

    /** For processes without a limit; far more than the memory of a VM allows. */
    private static final int MAXIMUM_CONNECTIONS = 4_000;

    /** Share of the heap for the connections of callers, beside that for messages. */
    private static final int HEAP_SHARE_DIVISOR = 4;

    /** Two buffers of 8 KiB, an ordinary head of 4 KiB, and as much again for objects. */
    private static final int CONNECTION_BYTES = 24 * 1024;

    private static final int MINIMUM_CONNECTIONS = 16;

    /** Returns the division of the allowed descriptors, or of the system's limit if it is lower. */
    public static DescriptorLimits of(int allowed) {
        return forDescriptors(Math.min(allowed, systemLimit()))
                .withinHeap(Runtime.getRuntime().maxMemory());
    }

    /** Returns the division of the descriptors that the system allows the process. */
    public static DescriptorLimits ofSystem() {
        return of(Integer.MAX_VALUE);
    }

    /** Returns the division of a number of descriptors. */
    public static DescriptorLimits forDescriptors(long descriptors) {
        double connections = descriptors - FILES - OPERATOR_CONNECTIONS;
        return new DescriptorLimits(
                bounded(connections * CALLER_SHARE), bounded(connections * (1 - CALLER_SHARE)));
    }

    /** Returns these limits, lowered so that the connections of callers fit into a heap. */
    DescriptorLimits withinHeap(long heapBytes) {
        long fitting = heapBytes / HEAP_SHARE_DIVISOR / CONNECTION_BYTES;
        return new DescriptorLimits(
                (int) Math.max(MINIMUM_CONNECTIONS, Math.min(callerConnections, fitting)),
                ownConnections);
    }

    private static int bounded(double connections) {
        return (int) Math.max(MINIMUM_CONNECTIONS, Math.min(MAXIMUM_CONNECTIONS, connections));
    }

    private static long systemLimit() {
        return ManagementFactory.getOperatingSystemMXBean()
                        instanceof UnixOperatingSystemMXBean unix
                ? unix.getMaxFileDescriptorCount()
                : Long.MAX_VALUE;
    }
}
