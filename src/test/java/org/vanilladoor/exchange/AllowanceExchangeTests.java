package org.vanilladoor.exchange;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.vanilladoor.allowance.Allowance;
import org.vanilladoor.allowance.AllowanceTolerance;
import org.vanilladoor.allowance.AllowanceUnit;
import org.vanilladoor.allowance.GrantRequest;
import org.vanilladoor.common.ControlLoop;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.common.Json;
import org.vanilladoor.common.PortRange;
import org.vanilladoor.gateway.AllowanceControl;
import org.vanilladoor.gateway.GatewayMetrics;
import org.vanilladoor.gateway.ServingState;
import org.vanilladoor.provider.ObjectStore;
import org.vanilladoor.provider.StoredObject;
import org.vanilladoor.provider.VersionConflictException;
import org.vanilladoor.route.AuthorizedTeam;
import org.vanilladoor.route.RequestSizeLimits;
import org.vanilladoor.route.ServingConfiguration;

/** The exchange between a holder and another VM on real connections. */
@Timeout(60)
class AllowanceExchangeTests {
    private static final String HOST = "127.60.3.2";
    private static final String TEAM = "t";
    private static final Allowance ALLOWANCE =
            new Allowance(AllowanceUnit.REQUESTS, 1_000, 1_000, 0);
    private final MemoryStore mStore = new MemoryStore();
    private final List<Vm> mVms = new ArrayList<>();
    private long mNextTerm = 1;
    private volatile Optional<HostPort> mRosterAddress = Optional.empty();

    @AfterEach
    void stop() {
        mVms.forEach(Vm::close);
    }

    @Test
    void aVmIsGrantedAdvancesByTheHolder() throws Exception {
        Vm holder = start("holder", true);
        Vm other = start("other", false);
        await(() -> holder.isAdmitted() && other.isAdmitted() && holder.handled() >= 3);
        assertThat(mStore.mObjects.keySet()).containsExactly("exchange/secret");
    }

    /** Otherwise anybody who reaches the port could use up the allowances. */
    @Test
    void aMessageWithAWrongSecretIsRefused() throws Exception {
        start("holder", true);
        await(() -> mRosterAddress.isPresent());
        HeartbeatResponse response = sendWithSecret("wrong");
        assertThat(response)
                .isEqualTo(new HeartbeatResponse.Refused(HeartbeatResponse.Reason.WRONG_SECRET, 1));
    }

    @Test
    void aVmReadsTheSecretAgainOnceItIsRefused() throws Exception {
        Vm first = start("first", true);
        Vm other = start("other", false);
        await(other::isAdmitted);
        first.close();
        mVms.remove(first);
        mStore.mObjects.remove("exchange/secret");
        Vm second = start("second", true);
        await(() -> second.handled() >= 3 && other.isAdmitted());
    }

    /** A process that has lost the lease must not grant anything. */
    @Test
    void aVmLeavesAProcessThatIsNoLongerTheHolder() throws Exception {
        Vm first = start("first", true);
        Vm other = start("other", false);
        await(other::isAdmitted);
        first.mIsHolder = false;
        Vm second = start("second", true);
        await(() -> second.handled() >= 3 && other.isAdmitted());
    }

    /** A connection that falls silent must not be waited for. */
    @Test
    void aVmReadsTheAddressAgainIfTheHolderDoesNotAnswer() throws Exception {
        Vm holder = start("holder", true);
        await(holder::isAdmitted);
        HostPort right = mRosterAddress.orElseThrow();
        try (FrameLoop silent = FrameLoop.start("silent")) {
            HostPort wrong = silent.listen(HOST, PortRange.ANY, new Ignoring());
            mRosterAddress = Optional.of(wrong);
            Vm other = start("other", false);
            await(() -> other.mReads.get() >= 2);
            assertThat(holder.handled()).isEqualTo(0);
            mRosterAddress = Optional.of(right);
            await(() -> holder.handled() >= 3 && other.isAdmitted());
        }
    }

    private HeartbeatResponse sendWithSecret(String secret) throws Exception {
        CompletableFuture<byte[]> reply = new CompletableFuture<>();
        try (FrameLoop loop = FrameLoop.start("sender")) {
            loop.connect(
                            mRosterAddress.orElseThrow(),
                            new Ignoring() {
                                @Override
                                public void onMessage(FrameConnection from, byte[] payload) {
                                    reply.complete(payload);
                                }
                            })
                    .send(
                            FleetMessages.encode(
                                    new Heartbeat(
                                            secret,
                                            new GrantRequest("x", "x.1", 1, 0, List.of()))));
            return FleetMessages.decodeResponse(reply.get(10, TimeUnit.SECONDS));
        }
    }

    private Vm start(String name, boolean isHolder) {
        Vm vm = new Vm(name, isHolder);
        mVms.add(vm);
        return vm;
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        while (!condition.getAsBoolean()) {
            Thread.sleep(20);
        }
    }

    /** One process with an exchange, which takes the roster from the test. */
    private final class Vm implements FleetView {
        private final ControlLoop mControl = ControlLoop.start("control");
        private final MetricRegistry mRegistry = new MetricRegistry();
        private final AtomicInteger mReads = new AtomicInteger();
        private final AllowanceExchange mExchange;
        private final long mTerm = mNextTerm++;
        private volatile Optional<HostPort> mKnownAddress = Optional.empty();
        private volatile boolean mIsHolder;

        Vm(String name, boolean isHolder) {
            mIsHolder = isHolder;
            ServingState state = ServingState.create();
            AuthorizedTeam team =
                    new AuthorizedTeam(TEAM, OptionalInt.empty(), Optional.of(ALLOWANCE));
            state.applyIfNewer(
                    ServingConfiguration.of(
                            1,
                            List.of(),
                            List.of(),
                            new RequestSizeLimits(1, 1),
                            Map.of("k", team),
                            true));
            mExchange =
                    AllowanceExchange.start(
                            mControl,
                            state,
                            this,
                            mStore,
                            new AllowanceExchange.Identity(
                                    name, name + ".1", new ListenAddress(HOST, PortRange.ANY)),
                            AllowanceTolerance.standard(),
                            GatewayMetrics.create(mRegistry));
        }

        /** Returns the number of heartbeats of other processes that it has answered. */
        long handled() {
            return mRegistry.counter("exchange.heartbeats_handled").getCount();
        }

        /** Returns whether a request is admitted. */
        boolean isAdmitted() {
            CompletableFuture<Boolean> admitted = new CompletableFuture<>();
            mControl.execute(
                    () ->
                            mExchange.admit(
                                    TEAM,
                                    ALLOWANCE,
                                    1,
                                    new AllowanceControl.Outcome() {
                                        @Override
                                        public void onAdmitted() {
                                            admitted.complete(true);
                                        }

                                        @Override
                                        public void onRefused(long millis, String reason) {
                                            admitted.complete(false);
                                        }
                                    }));
            return admitted.join();
        }

        void close() {
            mControl.execute(mExchange::close);
            mControl.submit(() -> true).join();
            mControl.close();
        }

        @Override
        public boolean isHolder() {
            return mIsHolder;
        }

        @Override
        public long term() {
            return mTerm;
        }

        @Override
        public int countedProcesses() {
            return 2;
        }

        @Override
        public void publishExchange(Optional<HostPort> address) {
            if (mIsHolder && address.isPresent() && !address.equals(mKnownAddress)) {
                mKnownAddress = address;
                mRosterAddress = address;
            }
        }

        @Override
        public Optional<HostPort> holderExchange() {
            return mKnownAddress;
        }

        @Override
        public void readHolderExchange() {
            mReads.incrementAndGet();
            mKnownAddress = mRosterAddress;
        }
    }

    /** Ignores what arrives. */
    private static class Ignoring implements FrameListener {
        @Override
        public void onMessage(FrameConnection connection, byte[] payload) {
            // Not answered.
        }

        @Override
        public void onClosed(FrameConnection connection, String reason) {
            // The other end shows what happens.
        }
    }

    /** Completes each call at once. */
    private static final class MemoryStore implements ObjectStore {
        private final Map<String, StoredObject> mObjects = new ConcurrentHashMap<>();

        @Override
        public CompletableFuture<Optional<StoredObject>> read(String name) {
            return CompletableFuture.completedFuture(Optional.ofNullable(mObjects.get(name)));
        }

        @Override
        public CompletableFuture<Long> write(String name, long expectedVersion, byte[] content) {
            assertThat(Json.read(content, FleetSecret.Content.class).secret()).hasLength(24);
            boolean isNew = mObjects.putIfAbsent(name, new StoredObject(name, 1, content)) == null;
            return isNew
                    ? CompletableFuture.completedFuture(1L)
                    : CompletableFuture.failedFuture(new VersionConflictException(name));
        }

        @Override
        public CompletableFuture<Optional<StoredObject>> watch(
                String name, long afterVersion, Duration timeout) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletableFuture<List<String>> list(String prefix) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletableFuture<Void> delete(String name) {
            throw new UnsupportedOperationException();
        }
    }
}
