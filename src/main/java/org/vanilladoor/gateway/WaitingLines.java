package org.vanilladoor.gateway;

import java.util.HashMap;
import java.util.Map;

/**
 * The lines of all services.
 *
 * <p>Belongs to the control thread.
 */
final class WaitingLines {
    private final Map<String, WaitingLine> mLines = new HashMap<>();

    private WaitingLines() {}

    static WaitingLines create() {
        return new WaitingLines();
    }

    WaitingLine of(String service) {
        return mLines.computeIfAbsent(service, name -> WaitingLine.create());
    }

    void advanceAll(long nowMillis) {
        mLines.values().forEach(line -> line.advance(nowMillis));
    }
}
