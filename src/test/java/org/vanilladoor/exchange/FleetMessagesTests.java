package org.vanilladoor.exchange;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TBinaryProtocol;
import org.apache.thrift.protocol.TField;
import org.apache.thrift.protocol.TList;
import org.apache.thrift.protocol.TMessage;
import org.apache.thrift.protocol.TMessageType;
import org.apache.thrift.protocol.TProtocol;
import org.apache.thrift.protocol.TStruct;
import org.apache.thrift.protocol.TType;
import org.apache.thrift.transport.TMemoryBuffer;
import org.junit.jupiter.api.Test;
import org.vanilladoor.allowance.GrantReply;
import org.vanilladoor.allowance.GrantRequest;

/** Messages between VMs: what is encoded is decoded, and nothing else is. */
class FleetMessagesTests {
    private static final Heartbeat HEARTBEAT =
            new Heartbeat(
                    "secret",
                    new GrantRequest(
                            "vm-1",
                            "vm-1.x",
                            7,
                            3,
                            List.of(
                                    new GrantRequest.Entry("t1", 1_500, 200, 0.5),
                                    new GrantRequest.Entry("t\u00e9", 0, 0, 12))));

    @Test
    void aHeartbeatIsDecodedAsItWasEncoded() throws TException {
        assertThat(FleetMessages.decodeHeartbeat(FleetMessages.encode(HEARTBEAT)))
                .isEqualTo(HEARTBEAT);
    }

    @Test
    void responsesAreDecodedAsTheyWereEncoded() throws TException {
        for (HeartbeatResponse response :
                List.of(
                        new HeartbeatResponse.Granted(
                                new GrantReply(4, 9, List.of(new GrantReply.Entry("t1", 100, 0)))),
                        new HeartbeatResponse.Granted(new GrantReply(4, 9, List.of())),
                        new HeartbeatResponse.Refused(HeartbeatResponse.Reason.WRONG_SECRET, 9))) {
            assertThat(FleetMessages.decodeResponse(FleetMessages.encode(response)))
                    .isEqualTo(response);
        }
    }

    /** A later version adds fields, for the members' reports for instance. */
    @Test
    void unknownFieldsAreSkipped() throws TException {
        TMemoryBuffer buffer = new TMemoryBuffer(64);
        TProtocol protocol = new TBinaryProtocol(buffer);
        protocol.writeMessageBegin(new TMessage("heartbeat", TMessageType.CALL, 0));
        protocol.writeFieldBegin(new TField("", TType.STRUCT, (short) 1));
        protocol.writeStructBegin(new TStruct(""));
        protocol.writeFieldBegin(new TField("", TType.LIST, (short) 90));
        protocol.writeListBegin(new TList(TType.STRING, 1));
        protocol.writeString("report");
        protocol.writeFieldBegin(new TField("", TType.STRING, (short) 2));
        protocol.writeString("vm-1");
        // The sequence number of this version has another type.
        protocol.writeFieldBegin(new TField("", TType.I32, (short) 4));
        protocol.writeI32(5);
        protocol.writeFieldStop();
        protocol.writeFieldStop();
        Heartbeat heartbeat =
                FleetMessages.decodeHeartbeat(Arrays.copyOf(buffer.getArray(), buffer.length()));
        assertThat(heartbeat.request().vm()).isEqualTo("vm-1");
        assertThat(heartbeat.request().sequence()).isEqualTo(0);
    }

    /** Bytes of any kind end in a checked exception, not in an error or a large allocation. */
    @Test
    void damagedMessagesAreRejectedOrDecoded() {
        SplittableRandom random = new SplittableRandom(11);
        byte[] valid = FleetMessages.encode(HEARTBEAT);
        for (int i = 0; i < 20_000; i++) {
            byte[] damaged = Arrays.copyOf(valid, random.nextInt(valid.length + 1));
            for (int change = 0; change < 3 && damaged.length > 0; change++) {
                damaged[random.nextInt(damaged.length)] = (byte) random.nextInt(256);
            }
            try {
                FleetMessages.decodeHeartbeat(damaged);
            } catch (TException e) {
                assertThat(e).isNotNull();
            }
        }
    }

    @Test
    void quantitiesThatAreNoQuantitiesAreRejected() {
        for (double quantity : new double[] {-1, Double.NaN, Double.POSITIVE_INFINITY}) {
            Heartbeat heartbeat =
                    new Heartbeat(
                            "secret",
                            new GrantRequest(
                                    "vm",
                                    "vm.x",
                                    1,
                                    1,
                                    List.of(new GrantRequest.Entry("t", quantity, 0, 0))));
            byte[] message = FleetMessages.encode(heartbeat);
            assertThrows(TException.class, () -> FleetMessages.decodeHeartbeat(message));
        }
    }
}
