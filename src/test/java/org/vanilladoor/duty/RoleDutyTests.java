package org.vanilladoor.duty;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.vanilladoor.common.ControlLoop;
import org.vanilladoor.engine.EngineRole;
import org.vanilladoor.fleet.Endpoint;
import org.vanilladoor.fleet.EndpointDirectory;
import org.vanilladoor.fleet.Endpoints;
import org.vanilladoor.gateway.ServingState;
import org.vanilladoor.route.CallerLimits;
import org.vanilladoor.route.ServiceDefinition;
import org.vanilladoor.route.ServingConfiguration;

/** The course of a role change: told to all VMs, ordered once, settled. */
@Timeout(20)
class RoleDutyTests {
    private final ControlLoop mControl = ControlLoop.start("control");
    private final EndpointDirectory mDirectory = EndpointDirectory.create();
    private final ServingState mState = ServingState.create();
    private final MemberBoard mBoard = MemberBoard.create("members/one.1");
    private final List<String> mDone = new CopyOnWriteArrayList<>();
    private volatile boolean mHeld = true;
    private volatile boolean mLoseLeaseOnAnnouncement;
    private volatile boolean mKeepsNewsBack;
    private volatile long mTerm = 1;
    private RoleDuty mDuty;

    @BeforeEach
    void start() {
        for (int index = 0; index < 3; index++) {
            mDirectory.put(Endpoints.engine("e-" + index, "a", EngineRole.DECODE));
        }
        mState.applyIfNewer(
                ServingConfiguration.of(
                        1, List.of(), List.of(service()), new CallerLimits(1, 1), Map.of(), false));
        mBoard.list(List.of(listed(new Work(3, 10))), 0);
        mDuty = new RoleDuty(mControl, new Orders(), mDirectory, mBoard, mState);
    }

    @AfterEach
    void stop() {
        mControl.close();
    }

    @Test
    void aChangeIsAnnouncedThenOrderedOnceThenSettled() {
        pulse();
        waitUntil(() -> mDone.size() == 3);
        pulse();
        assertThat(mDone)
                .containsExactly(
                        "announce e-2 PREFILL true",
                        "order e-2 PREFILL 4",
                        "announce e-2 PREFILL false")
                .inOrder();
    }

    @Test
    void noOtherEngineChangesWhileTheNewsOfTheFirstIsSlow() {
        mKeepsNewsBack = true;
        pulse();
        pulse();
        pulse();
        assertThat(mDone.stream().filter(each -> each.endsWith("true")).toList())
                .containsExactly("announce e-2 PREFILL true");
    }

    @Test
    void nothingIsOrderedOnceTheLeaseIsLost() {
        mLoseLeaseOnAnnouncement = true;
        pulse();
        waitUntil(() -> !mHeld);
        mControl.close();
        assertThat(mDone).containsExactly("announce e-2 PREFILL true");
    }

    @Test
    void aNewHolderWaitsUntilNoOrderOfItsForerunnerCanStillBeCarriedOut() {
        mTerm = 2;
        pulse();
        assertThat(mDone).isEmpty();
    }

    @Test
    void aChangeThatAForerunnerLeftOpenIsSettledByWhatTheEngineSays() {
        mTerm = 2;
        mDirectory.put(
                Endpoints.changing(
                        Endpoints.engine("e-0", "a", EngineRole.DECODE), EngineRole.PREFILL));
        pulse();
        waitUntil(() -> !mDone.isEmpty());
        assertThat(mDone).containsExactly("announce e-0 PREFILL false");
    }

    @Test
    void theWorkOfOneServiceDoesNotHoldBackTheEnginesOfAnother() {
        mState.applyIfNewer(
                ServingConfiguration.of(
                        2,
                        List.of(),
                        List.of(service(), service("busy")),
                        new CallerLimits(1, 1),
                        Map.of(),
                        false));
        Map<String, Work> work =
                Map.of(Endpoints.SERVICE, new Work(3, 10), "busy", new Work(3, 600));
        MemberReport report = new MemberReport("one", "1", 0, Map.of(), work);
        mBoard.list(List.of(new MemberBoard.Listed("members/one.1", 2, report)), 1);
        List<Endpoint> engines = mDirectory.all().stream().toList();
        engines.forEach(engine -> mDirectory.remove(engine.name(), 0));
        pulse();
        engines.forEach(mDirectory::put);
        pulse();
        waitUntil(() -> mDone.size() == 3);
        assertThat(mDone).contains("order e-2 PREFILL 4");
    }

    private void pulse() {
        mControl.query(
                        () -> {
                            mDuty.pulse(new Lease());
                            return null;
                        })
                .join();
    }

    private static void waitUntil(BooleanSupplier condition) {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (!condition.getAsBoolean()) {
            assertWithMessage("in time").that(System.nanoTime()).isLessThan(end);
            Thread.onSpinWait();
        }
    }

    private static ServiceDefinition service() {
        return service(Endpoints.SERVICE);
    }

    private static ServiceDefinition service(String name) {
        return new ServiceDefinition(
                name,
                500,
                Optional.of(new ServiceDefinition.EngineDefinition(64, 600_000, 3_000)),
                Optional.empty());
    }

    private static MemberBoard.Listed listed(Work work) {
        MemberReport report =
                new MemberReport("one", "1", 0, Map.of(), Map.of(Endpoints.SERVICE, work));
        return new MemberBoard.Listed("members/one.1", 1, report);
    }

    /** A lease that tests take away. */
    private final class Lease implements FleetLease {
        @Override
        public boolean isHeld() {
            return mHeld;
        }

        @Override
        public Authority authority() {
            return new Authority("one", mTerm);
        }
    }

    /** Engines that do as they are told at once. */
    private final class Orders extends UnexpectedOrders {
        @Override
        public CompletableFuture<EngineReport> report(Endpoint engine) {
            return CompletableFuture.completedFuture(
                    new EngineReport(EngineRole.PREFILL, false, 4));
        }

        @Override
        public CompletableFuture<Void> announce(
                Endpoint engine, EngineRole role, boolean changing) {
            mDone.add("announce " + engine.name() + " " + role + " " + changing);
            mHeld &= !mLoseLeaseOnAnnouncement;
            if (!mKeepsNewsBack) {
                Endpoint told = Endpoints.engine(engine.name(), "a", role);
                mDirectory.put(changing ? told.changingTo(role) : told);
            }
            return CompletableFuture.completedFuture(null);
        }

        @Override
        public CompletableFuture<Void> changeRole(
                Endpoint engine, EngineRole role, long accepted, Authority authority) {
            mDone.add("order " + engine.name() + " " + role + " " + accepted);
            return CompletableFuture.completedFuture(null);
        }
    }
}
