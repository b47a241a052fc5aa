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

/**
 * Checks concurrent configuration changes under lost responses, and processes to which peers supply
 * old versions.
 */
class ConfigurationFuzzTests {
    private static final int MAXIMUM_ACTION = 1_000_000;

    @Property(tries = 1500, seed = "4301")
    void acceptedChangesAreKeptAndNoProcessReturnsToAnOlderVersion(
            @ForAll @Size(min = 30, max = 120)
                    List<@IntRange(min = 0, max = MAXIMUM_ACTION) Integer> actions) {
        Simulation simulation = new Simulation();
        actions.forEach(simulation::performAction);
        simulation.completePendingCalls();
        simulation.assertOutcomesMatchStoredConfiguration();
    }

    /** Simulates operators, processes that hold configurations, and the object store. */
    private static final class Simulation {
        private static final int ACTION_KIND_COUNT = 8;
        private static final int DETAIL_DIVISOR = 32;
        private static final int OPERATOR_COUNT = 3;
        private static final int PROCESS_COUNT = 4;
        private final ObjectTable mTable = ObjectTable.create();
        private final List<FakeObjectStore> mStores = new ArrayList<>();
        private final List<ActiveConfiguration> mHolders = new ArrayList<>();
        private final List<Change> mChanges = new ArrayList<>();
        private final List<Configuration> mObservedConfigurations = new ArrayList<>();

        Simulation() {
            for (int i = 0; i < OPERATOR_COUNT; i++) {
                mStores.add(FakeObjectStore.create(mTable));
            }
            for (int i = 0; i < PROCESS_COUNT; i++) {
                mHolders.add(ActiveConfiguration.create());
            }
            mObservedConfigurations.add(Configuration.none());
        }

        /** Performs the action that the number encodes: its kind, an operator and a detail. */
        void performAction(int number) {
            FakeObjectStore store = mStores.get(number / ACTION_KIND_COUNT % OPERATOR_COUNT);
            int detail = number / DETAIL_DIVISOR;
            switch (number % ACTION_KIND_COUNT) {
                case 0 -> requestChange(store);
                case 1, 2, 3, 4 -> store.resolveOldest(FakeObjectStore.CallOutcome.ANSWER);
                case 5 ->
                        store.resolveOldest(
                                FakeObjectStore.CallOutcome.values()[
                                        detail % FakeObjectStore.CallOutcome.values().length]);
                case 6 -> store.applyOldestDelayed();
                default -> supplyConfiguration(detail);
            }
            storedConfiguration().ifPresent(mObservedConfigurations::add);
        }

        void completePendingCalls() {
            mStores.forEach(FakeObjectStore::resolveAll);
        }

        void assertOutcomesMatchStoredConfiguration() {
            Configuration finalConfiguration = storedConfiguration().orElse(Configuration.none());
            List<String> keys = new ArrayList<>();
            finalConfiguration.keys().records().forEach(record -> keys.add(record.identifier()));
            for (Change change : mChanges) {
                assertWithMessage("change has completed").that(change.result.isDone()).isTrue();
                boolean stored = keys.contains(change.key);
                if (!change.result.isCompletedExceptionally()) {
                    assertWithMessage("accepted change %s is stored", change.key)
                            .that(stored)
                            .isTrue();
                } else if (change.failsWith(VersionConflictException.class)) {
                    assertWithMessage("rejected change %s is stored", change.key)
                            .that(stored)
                            .isFalse();
                } else {
                    assertThat(change.failsWith(StoreUnavailableException.class)).isTrue();
                }
            }
        }

        private void requestChange(FakeObjectStore store) {
            String key = "key-" + mChanges.size();
            CompletableFuture<Configuration> result =
                    ConfigurationStore.create(store)
                            .applyChange(
                                    mObservedConfigurations.get(mObservedConfigurations.size() - 1),
                                    -1,
                                    base ->
                                            base.withKey(
                                                    new KeyRecord(
                                                            key, "salt", "digest", "t", false),
                                                    "nonce-" + key));
            mChanges.add(new Change(key, result));
        }

        private void supplyConfiguration(int detail) {
            ActiveConfiguration holder = mHolders.get(detail % PROCESS_COUNT);
            Configuration suppliedConfiguration =
                    mObservedConfigurations.get(
                            detail / PROCESS_COUNT % mObservedConfigurations.size());
            long versionBefore = holder.current().version();
            holder.replaceIfNewer(suppliedConfiguration);
            assertThat(holder.current().version())
                    .isEqualTo(Math.max(versionBefore, suppliedConfiguration.version()));
        }

        private Optional<Configuration> storedConfiguration() {
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

        /** A change that an operator requested. */
        private record Change(String key, CompletableFuture<Configuration> result) {
            boolean failsWith(Class<? extends Throwable> type) {
                Throwable failure = result.handle((value, thrown) -> thrown).join();
                Throwable cause = failure.getCause() == null ? failure : failure.getCause();
                return type.isInstance(cause) || type.isInstance(failure);
            }
        }
    }
}
