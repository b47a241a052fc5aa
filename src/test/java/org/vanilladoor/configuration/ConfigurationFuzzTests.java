package org.vanilladoor.configuration;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.vanilladoor.common.Json;
import org.vanilladoor.key.KeyRecord;
import org.vanilladoor.provider.FakeObjectStore;
import org.vanilladoor.provider.StoreUnavailableException;
import org.vanilladoor.provider.VersionConflictException;
import org.vanilladoor.standin.ObjectTable;

/** Operators who race each other, lost answers, and peers that offer old copies. */
class ConfigurationFuzzTests {
    private static final int MAXIMUM_ACTION = 1_000_000;

    @Property(tries = 1500, seed = "4301")
    void noAcceptedChangeIsLostAndNoProcessGoesBack(
            @ForAll @Size(min = 30, max = 120)
                    List<@IntRange(min = 0, max = MAXIMUM_ACTION) Integer> script) {
        World world = new World();
        script.forEach(world::act);
        world.drain();
        world.assertAcceptedChangesStand();
    }

    /** Operators, processes that hold configurations, and the object API. */
    private static final class World {
        private static final int OPERATORS = 3;
        private static final int PROCESSES = 4;
        private final ObjectTable mTable = ObjectTable.create();
        private final List<FakeObjectStore> mStores = new ArrayList<>();
        private final List<ConfigurationKeeper> mKeepers = new ArrayList<>();
        private final List<Change> mChanges = new ArrayList<>();
        private final List<Configuration> mSeen = new ArrayList<>();

        World() {
            for (int i = 0; i < OPERATORS; i++) {
                mStores.add(FakeObjectStore.create(mTable));
            }
            for (int i = 0; i < PROCESSES; i++) {
                mKeepers.add(ConfigurationKeeper.create());
            }
            mSeen.add(Configuration.none());
        }

        void act(int number) {
            FakeObjectStore store = mStores.get(number / 8 % OPERATORS);
            int detail = number / 32;
            switch (number % 8) {
                case 0 -> change(store);
                case 1, 2, 3, 4 -> store.resolveOldest(FakeObjectStore.CallOutcome.ANSWER);
                case 5 ->
                        store.resolveOldest(
                                FakeObjectStore.CallOutcome.values()[
                                        detail % FakeObjectStore.CallOutcome.values().length]);
                case 6 -> store.applyOldestDelayed();
                default -> offer(detail);
            }
            present().ifPresent(mSeen::add);
        }

        void drain() {
            mStores.forEach(FakeObjectStore::resolveAll);
        }

        void assertAcceptedChangesStand() {
            Configuration last = present().orElse(Configuration.none());
            List<String> keys = new ArrayList<>();
            last.keys().records().forEach(record -> keys.add(record.identifier()));
            for (Change change : mChanges) {
                assertWithMessage("change has an outcome").that(change.mResult.isDone()).isTrue();
                boolean stands = keys.contains(change.mKey);
                if (!change.mResult.isCompletedExceptionally()) {
                    assertWithMessage("accepted %s stands", change.mKey).that(stands).isTrue();
                } else if (change.failsWith(VersionConflictException.class)) {
                    assertWithMessage("refused %s stands", change.mKey).that(stands).isFalse();
                } else {
                    assertThat(change.failsWith(StoreUnavailableException.class)).isTrue();
                }
            }
        }

        private void change(FakeObjectStore store) {
            String key = "key-" + mChanges.size();
            CompletableFuture<Configuration> result =
                    ConfigurationStore.create(store)
                            .applyChange(
                                    mSeen.get(mSeen.size() - 1),
                                    -1,
                                    base ->
                                            base.withKey(
                                                    new KeyRecord(
                                                            key, "salt", "digest", "t", false),
                                                    "nonce-" + key));
            mChanges.add(new Change(key, result));
        }

        private void offer(int detail) {
            ConfigurationKeeper keeper = mKeepers.get(detail % PROCESSES);
            Configuration offered = mSeen.get(detail / PROCESSES % mSeen.size());
            long before = keeper.current().version();
            keeper.replaceIfNewer(offered);
            assertThat(keeper.current().version()).isEqualTo(Math.max(before, offered.version()));
        }

        private Optional<Configuration> present() {
            return mTable.read(ConfigurationHead.OBJECT)
                    .map(object -> Json.read(object.content(), ConfigurationHead.class))
                    .map(
                            head ->
                                    Configuration.assemble(
                                            head,
                                            digest ->
                                                    mTable.read(
                                                                    ConfigurationHead.PART_PREFIX
                                                                            + digest)
                                                            .orElseThrow()
                                                            .content()));
        }

        /** A change that an operator asked for. */
        private record Change(String mKey, CompletableFuture<Configuration> mResult) {
            boolean failsWith(Class<? extends Throwable> type) {
                Throwable failure = mResult.handle((value, thrown) -> thrown).join();
                Throwable cause = failure.getCause() == null ? failure : failure.getCause();
                return type.isInstance(cause) || type.isInstance(failure);
            }
        }
    }
}
