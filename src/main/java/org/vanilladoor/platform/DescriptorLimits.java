package org.vanilladoor.platform;

import com.sun.management.UnixOperatingSystemMXBean;
import java.lang.management.ManagementFactory;

/**
 * How the file descriptors of a process are divided.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param callerConnections maximum number of callers' connections
 */
record DescriptorLimits(int callerConnections) {
    /** Connections for readiness checks and metrics. */
    static final int OPERATOR_CONNECTIONS = 32;

    /** The platform's share for files, such as those of the program itself. */
    private static final int FILES = 200;

    /** A request may need a connection to an endpoint beside its caller's. */
    private static final int DESCRIPTORS_PER_CALLER = 2;

    /** For processes without a limit; far more than the memory of a VM allows. */
    private static final int MAXIMUM_CALLER_CONNECTIONS = 4_000;

    private static final int MINIMUM_CALLER_CONNECTIONS = 16;

    /** Returns the division of the allowed descriptors, or of the system's limit if it is lower. */
    static DescriptorLimits of(int allowed) {
        return forDescriptors(Math.min(allowed, systemLimit()));
    }

    /** Returns the division of a number of descriptors. */
    static DescriptorLimits forDescriptors(long descriptors) {
        long connections = (descriptors - FILES - OPERATOR_CONNECTIONS) / DESCRIPTORS_PER_CALLER;
        return new DescriptorLimits(
                (int)
                        Math.max(
                                MINIMUM_CALLER_CONNECTIONS,
                                Math.min(MAXIMUM_CALLER_CONNECTIONS, connections)));
    }

    private static long systemLimit() {
        return ManagementFactory.getOperatingSystemMXBean()
                        instanceof UnixOperatingSystemMXBean unix
                ? unix.getMaxFileDescriptorCount()
                : Long.MAX_VALUE;
    }
}
