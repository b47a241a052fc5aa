package org.vanilladoor.platform;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.vanilladoor.common.ControlLoop;
import org.vanilladoor.common.Json;
import org.vanilladoor.transport.ConnectionPool;

/** How a kind of the store is followed. */
class StoreFeedTests {
    private static final String KIND = "servers";
    private static final long PACE_MILLIS = 200;
    private final ControlLoop mControl = ControlLoop.start("feed-tests");
    private final Set<String> mKnown = ConcurrentHashMap.newKeySet();
    private ConnectionPool mLinks;
    private SoakPlatform mPlatform;

    @BeforeEach
    void start() throws IOException {
        mLinks = ConnectionPool.start(mControl);
        mPlatform = SoakPlatform.start(new SoakLedger());
        ObjectClient client =
                ObjectClient.create(PlatformCalls.create(mControl, mLinks), mPlatform.address());
        StoreFeed.start(
                mControl,
                client,
                KIND,
                2_000,
                () -> PACE_MILLIS,
                new SplittableRandom(1),
                new Known());
    }

    @AfterEach
    void stop() {
        mControl.close();
        mLinks.close();
        mPlatform.close();
    }

    @Test
    void manyChangesAreAskedForNoMoreOftenThanThePaceAndAllArrive() throws InterruptedException {
        long started = System.nanoTime();
        for (int number = 0; number < 60; number++) {
            put("e-" + number);
            Thread.sleep(20);
        }
        awaitKnown("e-59");
        long elapsedMillis = (System.nanoTime() - started) / 1_000_000;
        assertThat(mKnown).hasSize(60);
        // The listing and the question that is open at the end come on top.
        assertThat(mPlatform.watchRequestCount()).isAtMost((int) (elapsedMillis / PACE_MILLIS) + 2);
    }

    @Test
    void afterTheHistoryIsGoneEverythingIsListedAgain() throws InterruptedException {
        put("before");
        awaitKnown("before");
        mPlatform.compactHistory();
        put("after");
        awaitKnown("after");
        assertThat(mKnown).containsExactly("before", "after");
    }

    private void put(String name) {
        mPlatform.put(KIND, name, Json.newObject());
    }

    private void awaitKnown(String name) throws InterruptedException {
        while (!mKnown.contains(name)) {
            Thread.sleep(5);
        }
    }

    /** Takes note of names. */
    private final class Known implements StoreFeed.Listener {
        @Override
        public void listed(List<JsonNode> objects) {
            mKnown.clear();
            objects.forEach(this::changed);
        }

        @Override
        public void changed(JsonNode object) {
            mKnown.add(ObjectClient.nameOf(object));
        }

        @Override
        public void removed(String name) {
            mKnown.remove(name);
        }

        @Override
        public void confirmed(long askedMillis) {
            // Only names are looked at here.
        }

        @Override
        public void back() {
            // Only names are looked at here.
        }

        @Override
        public void away() {
            // Only names are looked at here.
        }
    }
}
