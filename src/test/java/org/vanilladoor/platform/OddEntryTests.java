package org.vanilladoor.platform;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.vanilladoor.common.ControlLoop;
import org.vanilladoor.common.Json;
import org.vanilladoor.common.MemoryBudget;
import org.vanilladoor.fleet.EndpointDirectory;
import org.vanilladoor.gateway.ServingState;
import org.vanilladoor.provider.StoredObject;
import org.vanilladoor.transport.ConnectionPool;

/** Guards against an odd entry in a list that hides the entries around it. */
class OddEntryTests {
    private static final int PAGE_SIZE = 2;
    private static final long WAIT_MILLIS = 500;
    private static final long IN_TIME_MILLIS = 3_000;
    private static final int LARGE = 300_000;
    private static final List<String> OWN_KINDS =
            List.of("leases", "members", "roster", "usage", "crashes");

    private ControlLoop mControl;
    private ConnectionPool mConnections;
    private RawObjectStore mStore;
    private ObjectClient mClient;
    private EndpointDirectory mDirectory;
    private ServingState mState;
    private Set<String> mEndedLimits;

    @BeforeEach
    @BeforeTry
    void start() throws IOException {
        mControl = ControlLoop.start("odd-entry-tests");
        mConnections = ConnectionPool.start(mControl, MemoryBudget.ofHeap(), anomaly -> {});
        mStore = RawObjectStore.start(PAGE_SIZE);
        mClient =
                ObjectClient.create(PlatformCalls.create(mControl, mConnections), mStore.address());
        mDirectory = EndpointDirectory.create();
        mState = ServingState.create();
        mEndedLimits = ConcurrentHashMap.newKeySet();
    }

    @AfterEach
    @AfterTry
    void stop() {
        mControl.close();
        mConnections.close();
        mStore.close();
    }

    @ParameterizedTest
    @EnumSource(OddContent.class)
    void anOddEntryOfAnEndpointCostsOnlyThatEndpoint(OddContent odd) {
        putEndpoint("e1");
        mStore.put(EndpointFeed.KIND, "e2", odd.ofSize(LARGE));
        putEndpoint("e3");
        followEndpoints();
        awaitEndpoints("e1", "e3");
        mStore.put(EndpointFeed.KIND, "e4", odd.ofSize(LARGE));
        mStore.put(EndpointFeed.KIND, "e1", odd.ofSize(LARGE));
        putEndpoint("e5");
        awaitEndpoints("e3", "e5");
        putEndpoint("e1");
        awaitEndpoints("e1", "e3", "e5");
    }

    @ParameterizedTest
    @EnumSource(OddContent.class)
    void anOddObjectBesideTheConfigurationOrInItsPlaceKeepsNoLaterVersionBack(OddContent odd) {
        mStore.put(ConfigurationFeed.KIND, "a", odd.ofSize(LARGE));
        putConfiguration(1);
        mStore.put(ConfigurationFeed.KIND, "z", odd.ofSize(LARGE));
        followConfiguration();
        awaitVersion(1);
        mStore.put(ConfigurationFeed.KIND, "b", odd.ofSize(LARGE));
        putConfiguration(2);
        awaitVersion(2);
        mStore.put(ConfigurationFeed.KIND, "main", odd.ofSize(LARGE));
        putConfiguration(3);
        awaitVersion(3);
    }

    @ParameterizedTest
    @MethodSource("contentsOfOwnKinds")
    void anOddObjectOfTheSystemsOwnKindsHidesNoOther(String kind, OddContent odd) throws Exception {
        String platformKind = "vanilladoor-" + kind;
        mStore.put(platformKind, "a", "{\"x\":1}");
        mStore.put(platformKind, "b", odd.ofSize(LARGE));
        mStore.put(platformKind, "c", odd.ofSize(LARGE));
        mStore.put(platformKind, "d", "{\"x\":2}");
        List<StoredObject> found = await(mClient.listKind(kind + "/any", false));
        assertThat(contentOf(found, kind + "/a")).isEqualTo(Json.newObject().put("x", 1));
        assertThat(contentOf(found, kind + "/d")).isEqualTo(Json.newObject().put("x", 2));
        // An object that is there but can't be read is not reported as missing.
        assertThat(await(mClient.read(kind + "/b"))).isPresent();
    }

    static Stream<Arguments> contentsOfOwnKinds() {
        return OWN_KINDS.stream()
                .flatMap(
                        kind -> Stream.of(OddContent.values()).map(odd -> Arguments.of(kind, odd)));
    }

    @ParameterizedTest
    @EnumSource(OddContent.class)
    void anOddStatusHidesNoMarkOfAnotherEndpoint(OddContent odd) {
        putWithStatus("e1", odd.ofSize(LARGE));
        putWithStatus("e2", RawObjectStore.utf8("{}"));
        followEndpoints();
        awaitTrue(() -> endpointNames().contains("e2"));
        putWithStatus("e1", odd.ofSize(LARGE));
        putWithStatus("e2", RawObjectStore.utf8("{\"limit_ended\":\"vm.1.2\"}"));
        awaitTrue(() -> mEndedLimits.contains("e2"));
    }

    /** Names are part of the path and query of a call. */
    @Test
    void namesWithAnyCharactersAreListedToTheLastPage() {
        List<String> odd = List.of("a b", "a&after=z", "a/b", "a%2f", "a?x#y", "é", "a\r\nX: y");
        odd.forEach(name -> mStore.put(EndpointFeed.KIND, name, "{}"));
        putEndpoint("zz");
        followEndpoints();
        awaitEndpoints("zz");
        assertThat(mStore.listRequests(EndpointFeed.KIND)).hasSize(odd.size() / PAGE_SIZE + 1);
    }

    @Test
    void anEntryWithoutReadableNameAtTheEndOfAPageHidesNoLaterPage() {
        putEndpoint("e");
        List<String> names = List.of("7", "null", "{}", "\"\"", "1e999999999", "\"\\ud800\"");
        for (int index = 0; index < names.size(); index++) {
            putWithName("e" + index + "a", names.get(index));
            putEndpoint("e" + index + "b");
        }
        followEndpoints();
        awaitEndpoints("e", "e0b", "e1b", "e2b", "e3b", "e4b", "e5b");
    }

    /** Larger than any response that is accepted in one piece. */
    @Test
    void anEntryLargerThanAResponseMayBeHidesNoOther() {
        byte[] large = OddContent.LONG_TEXT.ofSize(12 * 1024 * 1024);
        putEndpoint("e1");
        mStore.put(EndpointFeed.KIND, "e2", large);
        putEndpoint("e3");
        followEndpoints();
        awaitEndpoints("e1", "e3");
        mStore.put(EndpointFeed.KIND, "e1", large);
        putEndpoint("e4");
        awaitEndpoints("e3", "e4");
    }

    @Property(tries = 60, seed = "28")
    void generatedOddEntriesBetweenSoundOnesCostOnlyThemselves(
            @ForAll @Size(min = 1, max = 12)
                    List<@IntRange(min = 0, max = 1 << 20) Integer> draws) {
        List<String> sound = new ArrayList<>();
        for (int index = 0; index < draws.size(); index++) {
            putOdd("e" + index + "a", draws.get(index));
            sound.add("e" + index + "b");
            putEndpoint("e" + index + "b");
        }
        followEndpoints();
        awaitEndpoints(sound.toArray(String[]::new));
        for (int index = 0; index < draws.size(); index++) {
            putOdd("f" + index + "a", draws.get(index));
            sound.add("f" + index + "b");
            putEndpoint("f" + index + "b");
        }
        awaitEndpoints(sound.toArray(String[]::new));
    }

    private void putOdd(String name, int draw) {
        SplittableRandom random = new SplittableRandom(draw);
        OddContent[] all = OddContent.values();
        byte[] odd = all[random.nextInt(all.length)].ofSize(1 << random.nextInt(18));
        byte[] sound = RawObjectStore.utf8("{}");
        boolean isSpec = random.nextBoolean();
        mStore.putWithMeta(
                EndpointFeed.KIND,
                name,
                Json.write(name),
                isSpec ? odd : sound,
                isSpec ? sound : odd);
    }

    private void followEndpoints() {
        EndpointFeed.NewsListener news =
                new EndpointFeed.NewsListener() {
                    @Override
                    public void onCrashSuspected() {
                        // These tests check endpoints and limits only.
                    }

                    @Override
                    public void onLimitEnded(String endpoint) {
                        mEndedLimits.add(endpoint);
                    }
                };
        follow(
                EndpointFeed.KIND,
                EndpointFeed.create(
                        mDirectory, mState, EndpointMarks.create(mClient, "own"), news));
    }

    private void followConfiguration() {
        follow(ConfigurationFeed.KIND, ConfigurationFeed.create(mState));
    }

    private void follow(String kind, StoreFeed.Listener listener) {
        StoreFeed.start(
                mControl, mClient, kind, WAIT_MILLIS, () -> 1, new SplittableRandom(1), listener);
    }

    private void putEndpoint(String name) {
        mStore.put(EndpointFeed.KIND, name, endpointSpec());
    }

    private void putWithName(String key, String name) {
        mStore.putWithMeta(
                EndpointFeed.KIND,
                key,
                RawObjectStore.utf8(name),
                RawObjectStore.utf8(endpointSpec()),
                RawObjectStore.utf8("null"));
    }

    private void putWithStatus(String name, byte[] status) {
        mStore.putWithMeta(
                EndpointFeed.KIND,
                name,
                Json.write(name),
                RawObjectStore.utf8(endpointSpec()),
                status);
    }

    private static String endpointSpec() {
        return "{\"service\":\"s\",\"addr\":\"127.0.0.1:5\",\"zone\":\"z\",\"slots\":8,"
                + "\"state\":\"ready\",\"born\":5}";
    }

    private void putConfiguration(long version) {
        mStore.put(ConfigurationFeed.KIND, "main", "{\"version\":" + version + "}");
    }

    private void awaitEndpoints(String... names) {
        awaitTrue(() -> endpointNames().equals(Set.of(names)));
    }

    private Set<String> endpointNames() {
        return Set.copyOf(
                await(
                        mControl.submit(
                                () ->
                                        mDirectory.all().stream()
                                                .map(endpoint -> endpoint.name())
                                                .toList())));
    }

    private void awaitVersion(long version) {
        awaitTrue(
                () ->
                        await(
                                mControl.submit(
                                        () ->
                                                mState.configuration()
                                                        .filter(c -> c.version() == version)
                                                        .isPresent())));
    }

    private void awaitTrue(BooleanSupplier condition) {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(IN_TIME_MILLIS);
        while (!condition.getAsBoolean()) {
            assertWithMessage("in force in time; known: " + endpointNames())
                    .that(System.nanoTime())
                    .isLessThan(endNanos);
            Thread.onSpinWait();
        }
    }

    private static <T> T await(CompletableFuture<T> future) {
        return future.orTimeout(IN_TIME_MILLIS, TimeUnit.MILLISECONDS).join();
    }

    private static JsonNode contentOf(List<StoredObject> objects, String name) {
        return objects.stream()
                .filter(object -> object.name().equals(name))
                .map(object -> Json.read(object.content(), JsonNode.class))
                .findFirst()
                .orElseThrow();
    }
}
