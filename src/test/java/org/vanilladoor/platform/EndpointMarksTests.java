package org.vanilladoor.platform;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.vanilladoor.common.ControlLoop;
import org.vanilladoor.common.Json;
import org.vanilladoor.common.MemoryBudget;
import org.vanilladoor.common.SendPermit;
import org.vanilladoor.engine.EngineRole;
import org.vanilladoor.fleet.Endpoint;
import org.vanilladoor.fleet.Endpoints;
import org.vanilladoor.leader.FencingToken;
import org.vanilladoor.leader.FleetPermit;
import org.vanilladoor.platform.EndpointMarks.Kind;
import org.vanilladoor.transport.ConnectionPool;

/** Marks that VMs leave on the entries of endpoints. */
class EndpointMarksTests {
    private static final String NAME = "e1";
    private final ControlLoop mControl = ControlLoop.start("mark-tests");
    private ConnectionPool mConnections;
    private SoakPlatform mPlatform;
    private ObjectClient mClient;

    @BeforeEach
    void start() throws IOException {
        mConnections = ConnectionPool.start(mControl, MemoryBudget.ofHeap(), anomaly -> {});
        mPlatform = SoakPlatform.start(new SoakLedger());
        mClient =
                ObjectClient.create(
                        PlatformCalls.create(mControl, mConnections), mPlatform.address());
        mPlatform.put(EndpointFeed.KIND, NAME, Json.newObject().put("service", "s"));
    }

    @AfterEach
    void stop() {
        mControl.close();
        mConnections.close();
        mPlatform.close();
    }

    @Test
    void aMarkIsNewToOtherVmsOnceAndNeverToItsOwn() {
        EndpointMarks own = EndpointMarks.create(mClient, "vm-1.run");
        EndpointMarks other = EndpointMarks.create(mClient, "vm-2.run");
        own.set(Kind.CRASHED, NAME).join();
        JsonNode marked = entry();
        assertThat(own.isNew(Kind.CRASHED, marked)).isFalse();
        assertThat(other.isNew(Kind.LIMIT_ENDED, marked)).isFalse();
        assertThat(other.isNew(Kind.CRASHED, marked)).isTrue();
        assertThat(other.isNew(Kind.CRASHED, marked)).isFalse();
    }

    @Test
    void anAnnouncedRoleLeavesMarksAsTheyAre() {
        EndpointMarks.create(mClient, "vm-1.run").set(Kind.CRASHED, NAME).join();
        FleetPermit permit = new FleetPermit(new FencingToken("vm-1", 1), SendPermit.UNLIMITED);
        Endpoint engine = Endpoints.engine(NAME, "a", EngineRole.DECODE);
        FleetClient.create(PlatformCalls.create(mControl, mConnections), mClient, Optional.empty())
                .announceRole(engine, EngineRole.PREFILL, true, permit)
                .join();
        assertThat(EndpointMarks.create(mClient, "vm-2.run").isNew(Kind.CRASHED, entry())).isTrue();
        assertThat(entry().path("status").path("changing").asBoolean()).isTrue();
    }

    @Test
    void aMarkLeavesTheAnnouncedRoleAndOtherMarksAsTheyAre() {
        ObjectNode announcement = Json.newObject().put("role", "prefill").put("changing", true);
        mClient.updateStatus(EndpointFeed.KIND, NAME, status -> status.setAll(announcement)).join();
        EndpointMarks marks = EndpointMarks.create(mClient, "vm-1.run");
        marks.set(Kind.CRASHED, NAME).join();
        marks.set(Kind.LIMIT_ENDED, NAME).join();
        JsonNode status = entry().path("status");
        assertThat(status.path("role").asText()).isEqualTo("prefill");
        assertThat(status.path("changing").asBoolean()).isTrue();
        assertThat(status.path("crash").asText()).startsWith("vm-1.run.");
        assertThat(status.path("limit_ended").asText()).startsWith("vm-1.run.");
    }

    @Test
    void aMarkOnAnEntryThatIsGoneFails() {
        mPlatform.remove(EndpointFeed.KIND, NAME);
        assertThat(
                        EndpointMarks.create(mClient, "vm-1.run")
                                .set(Kind.CRASHED, NAME)
                                .handle((done, failure) -> failure != null)
                                .join())
                .isTrue();
    }

    private JsonNode entry() {
        List<JsonNode> items =
                mClient.listAll(EndpointFeed.KIND, JsonSelection.EVERYTHING, any -> true)
                        .join()
                        .items();
        assertThat(items).hasSize(1);
        return items.get(0);
    }
}
