package org.vanilladoor.quarantine;

import static com.google.common.truth.Truth.assertThat;

import java.util.AbstractList;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.vanilladoor.common.Json;
import org.vanilladoor.common.MonotonicClock;
import org.vanilladoor.engine.EngineRole;
import org.vanilladoor.fleet.Endpoints;
import org.vanilladoor.provider.FakeObjectStore;
import org.vanilladoor.provider.StoredObject;
import org.vanilladoor.standin.ObjectTable;

/** VMs that tell each other through the store which parts crash engines. */
class CrashReportExchangeTests {
    private static final String PART = "dead";
    private static final String CUSTOMERS_PART = "c0";

    /** Time after which a part in doubt is tested. */
    private static final long DOUBT_MILLIS =
            PromptQuarantine.TRIAL_INTERVALS_IN_DOUBT_MILLIS.get(0);

    private static final long WAIT_MILLIS = 1_000;
    private final ObjectTable mTable = ObjectTable.create();
    private final FakeObjectStore mStore = FakeObjectStore.create(mTable);
    private final List<String> mMarked = new ArrayList<>();
    private long mNowMillis = MonotonicClock.nowMillis();
    private boolean mListable = true;
    private int mListings;

    @Test
    void nothingIsWrittenOrReadAgainWhileNoEngineCrashes() {
        Vm vm = new Vm("a");
        vm.mExchange.tick(MonotonicClock.nowMillis());
        vm.mExchange.tick(MonotonicClock.nowMillis() + 60_000);
        assertThat(mListings).isEqualTo(1);
        assertThat(mStore.hasPending()).isFalse();
        assertThat(mMarked).isEmpty();
    }

    @Test
    void eachPublishedCrashIsFollowedByAMarkAndReadByOtherVms() {
        Vm first = new Vm("a");
        Vm second = new Vm("b");
        crash(first, "e1");
        crash(first, "e2");
        crash(second, "e3");
        mStore.resolveAll();
        assertThat(mMarked).containsExactly("e2", "e3", "e2").inOrder();
        Vm third = new Vm("c");
        assertThat(third.mQuarantine.verdict(List.of(PART))).isEqualTo(PromptVerdict.QUARANTINED);
    }

    @Test
    void anObservationIsWrittenAgainAfterTheStoreFailed() {
        Vm vm = new Vm("a");
        crash(vm, "e1");
        mStore.resolveOldest(FakeObjectStore.CallOutcome.EFFECT_AFTER_FAILURE);
        mStore.resolveAll();
        assertThat(mMarked).isEmpty();
        vm.mExchange.tick(MonotonicClock.nowMillis());
        mStore.resolveAll();
        assertThat(mMarked).containsExactly("e1");
        assertThat(mTable.read("crashes/a")).isPresent();
    }

    @Test
    void aRestartedProcessKeepsWhatItsPredecessorObserved() {
        crash(new Vm("a"), "e1");
        mStore.resolveAll();
        Vm restarted = new Vm("a");
        crash(restarted, "e2");
        mStore.resolveAll();
        restarted.mExchange.tick(MonotonicClock.nowMillis());
        mStore.resolveAll();
        CrashReport stored =
                Json.read(mTable.read("crashes/a").orElseThrow().content(), CrashReport.class);
        assertThat(stored.parts().get(PART).crashes()).containsExactly("e1@1000", "e2@1000");
    }

    @Test
    void nothingIsWrittenBeforeTheFirstListing() {
        mListable = false;
        Vm vm = new Vm("a");
        crash(vm, "e1");
        assertThat(mStore.hasPending()).isFalse();
    }

    @Test
    void anUnreadableReportIsPassedOver() {
        mTable.write("crashes/bad", 0, "[1]".getBytes());
        CrashReport report =
                new CrashReport(
                        Map.of(
                                PART,
                                new CrashReport.Part(
                                        Set.of("e1", "e2", "e3"), Set.of(), Set.of(), 0)));
        mTable.write("crashes/good", 0, Json.write(report));
        Vm vm = new Vm("a");
        assertThat(vm.mQuarantine.verdict(List.of(PART))).isEqualTo(PromptVerdict.QUARANTINED);
    }

    @Test
    void aTrialIsAdmittedOnlyAfterAllVmsCanKnowOfIt() {
        Vm vm = new Vm("a");
        crash(vm, "e1");
        crash(vm, "e2");
        crash(vm, "e3");
        mStore.resolveAll();
        assertThat(vm.verdict(List.of(PART))).isEqualTo(PromptVerdict.QUARANTINED);
        passMillis(PromptQuarantine.TRIAL_INTERVAL_MILLIS);
        List<PromptVerdict> verdicts = new ArrayList<>();
        vm.await(List.of(PART), verdicts);
        vm.await(List.of(PART), verdicts);
        assertThat(verdicts).isEmpty();
        mStore.resolveAll();
        assertThat(verdicts).containsExactly(PromptVerdict.TRIAL, PromptVerdict.QUARANTINED);
        assertThat(vm.verdict(List.of(PART))).isEqualTo(PromptVerdict.QUARANTINED);
    }

    @Test
    void oneVmOfSeveralGetsATrial() {
        Vm first = new Vm("a");
        crashWithCustomersPart(first);
        Vm second = new Vm("b");
        passMillis(DOUBT_MILLIS);
        List<PromptVerdict> verdicts = new ArrayList<>();
        first.await(List.of(CUSTOMERS_PART), verdicts);
        second.await(List.of(CUSTOMERS_PART), verdicts);
        mStore.resolveAll();
        assertThat(verdicts).containsExactly(PromptVerdict.TRIAL);
        first.mGuard.recordAnswer(List.of(CUSTOMERS_PART), mNowMillis);
        mStore.resolveAll();
        mNowMillis += 500;
        second.mGuard.tick(mNowMillis);
        second.mExchange.tick(MonotonicClock.nowMillis() + 500);
        second.mGuard.tick(mNowMillis);
        assertThat(verdicts).containsExactly(PromptVerdict.TRIAL, PromptVerdict.SOUND).inOrder();
    }

    /** The verdict on the part in doubt would never come. */
    @Test
    void aRequestWithAllSuspectedPartsDoesNotUseUpTheTrial() {
        Vm vm = new Vm("a");
        crashWithCustomersPart(vm);
        passMillis(DOUBT_MILLIS);
        assertThat(vm.verdict(List.of(CUSTOMERS_PART, PART))).isEqualTo(PromptVerdict.QUARANTINED);
        List<PromptVerdict> verdicts = new ArrayList<>();
        vm.await(List.of(CUSTOMERS_PART), verdicts);
        assertThat(vm.verdict(List.of(CUSTOMERS_PART, PART))).isEqualTo(PromptVerdict.QUARANTINED);
        mStore.resolveAll();
        assertThat(verdicts).containsExactly(PromptVerdict.TRIAL);
    }

    @Test
    void noTrialIsAdmittedWhileTheStoreDoesNotAnswer() {
        Vm vm = new Vm("a");
        crashWithCustomersPart(vm);
        passMillis(DOUBT_MILLIS);
        List<PromptVerdict> verdicts = new ArrayList<>();
        vm.await(List.of(CUSTOMERS_PART), verdicts);
        mStore.resolveOldest(FakeObjectStore.CallOutcome.LOSE_ANSWER);
        assertThat(verdicts).isEmpty();
        mNowMillis += WAIT_MILLIS;
        vm.mGuard.tick(mNowMillis);
        assertThat(verdicts).containsExactly(PromptVerdict.IN_DOUBT);
    }

    @Test
    void aTrialWhoseCallerHasLeftGoesToAnotherRequest() {
        Vm vm = new Vm("a");
        crashWithCustomersPart(vm);
        passMillis(DOUBT_MILLIS);
        List<PromptVerdict> left = new ArrayList<>();
        List<PromptVerdict> verdicts = new ArrayList<>();
        PromptGuard.Wait wait = vm.await(List.of(CUSTOMERS_PART), left);
        vm.await(List.of(CUSTOMERS_PART), verdicts);
        wait.cancel();
        mStore.resolveAll();
        assertThat(left).isEmpty();
        assertThat(verdicts).containsExactly(PromptVerdict.TRIAL);
    }

    /** A prompt may have thousands of parts, and hundreds may wait. */
    @Test
    void aWaitingPromptIsNotLookedUpAgainWhileNothingChanges() {
        Vm vm = new Vm("a");
        crashWithCustomersPart(vm);
        AtomicInteger lookUps = new AtomicInteger();
        List<String> parts =
                new AbstractList<>() {
                    @Override
                    public String get(int index) {
                        lookUps.incrementAndGet();
                        return CUSTOMERS_PART;
                    }

                    @Override
                    public int size() {
                        return 1;
                    }
                };
        vm.await(parts, new ArrayList<>());
        vm.mGuard.tick(mNowMillis);
        int lookUpsBefore = lookUps.get();
        for (int tick = 0; tick < 10; tick++) {
            mNowMillis++;
            vm.mGuard.tick(mNowMillis);
        }
        assertThat(lookUps.get()).isEqualTo(lookUpsBefore);
    }

    private void passMillis(long millis) {
        mNowMillis = MonotonicClock.nowMillis() + millis;
    }

    private void crashWithCustomersPart(Vm vm) {
        for (String engine : List.of("e1", "e2", "e3")) {
            vm.mGuard.recordCrash(
                    Endpoints.engine(engine, "a", EngineRole.DECODE),
                    List.of(CUSTOMERS_PART, PART),
                    MonotonicClock.nowMillis());
        }
        mStore.resolveAll();
    }

    private static void crash(Vm vm, String engine) {
        vm.mGuard.recordCrash(
                Endpoints.engine(engine, "a", EngineRole.DECODE),
                List.of(PART),
                MonotonicClock.nowMillis());
    }

    private CompletableFuture<List<StoredObject>> list() {
        mListings++;
        if (!mListable) {
            return new CompletableFuture<>();
        }
        return CompletableFuture.completedFuture(
                mTable.list("crashes/").stream()
                        .map(name -> mTable.read(name).orElseThrow())
                        .toList());
    }

    /** The parts of one VM that take part in the exchange; has read once. */
    private final class Vm {
        private final PromptQuarantine mQuarantine = PromptQuarantine.create();
        private final CrashReportExchange mExchange;
        private final PromptGuard mGuard;

        Vm(String name) {
            mExchange =
                    CrashReportExchange.create(
                            mQuarantine,
                            mStore,
                            (anyName, mayBeStale) -> list(),
                            engine -> {
                                mMarked.add(engine);
                                return CompletableFuture.completedFuture(null);
                            },
                            name);
            mGuard = PromptGuard.create(mQuarantine, mExchange, name);
            mExchange.requestRead();
        }

        PromptVerdict verdict(List<String> parts) {
            return mGuard.verdict(parts, mNowMillis);
        }

        PromptGuard.Wait await(List<String> parts, List<PromptVerdict> verdicts) {
            return mGuard.awaitVerdict(parts, mNowMillis, WAIT_MILLIS, verdicts::add);
        }
    }
}
