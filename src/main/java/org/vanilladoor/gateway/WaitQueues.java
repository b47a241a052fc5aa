package org.vanilladoor.gateway;

import java.util.HashMap;
import java.util.Map;

/**
 * The wait queues of all services.
 *
 * <p>Confined to the control thread.
 */
final class WaitQueues {
    private final Map<String, WaitQueue> mQueues = new HashMap<>();

    private WaitQueues() {}

    static WaitQueues create() {
        return new WaitQueues();
    }

    WaitQueue forService(String service) {
        return mQueues.computeIfAbsent(service, name -> WaitQueue.create());
    }

    void advanceAll(long nowMillis) {
        mQueues.values().forEach(queue -> queue.advance(nowMillis));
    }
}
