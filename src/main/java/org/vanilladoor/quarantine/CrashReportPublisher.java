package org.vanilladoor.quarantine;

import java.util.Collection;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

/**
 * Makes the evidence of this VM known to the other VMs.
 *
 * <p>Confined to the control thread.
 */
public interface CrashReportPublisher {
    /**
     * Publishes the evidence as soon as possible.
     *
     * @param crashedEngine name of the engine whose crash is the news, if it is a crash
     */
    void publish(Optional<String> crashedEngine);

    /** Requests the evidence of the other VMs. */
    void requestRead();

    /**
     * Claims a trial of parts, which only one VM can; the others can know of it before the future
     * completes.
     *
     * @param trial identifies the trial among all trials of all VMs
     * @param isStillDue is called with the newest evidence of all VMs
     * @return whether this VM has the trial; never fails
     */
    CompletableFuture<Boolean> claimTrial(
            Collection<String> parts, String trial, BooleanSupplier isStillDue);
}
