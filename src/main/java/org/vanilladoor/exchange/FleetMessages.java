package org.vanilladoor.exchange;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.apache.thrift.TConfiguration;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TBinaryProtocol;
import org.apache.thrift.protocol.TField;
import org.apache.thrift.protocol.TList;
import org.apache.thrift.protocol.TMessage;
import org.apache.thrift.protocol.TMessageType;
import org.apache.thrift.protocol.TProtocol;
import org.apache.thrift.protocol.TProtocolUtil;
import org.apache.thrift.protocol.TStruct;
import org.apache.thrift.protocol.TType;
import org.apache.thrift.transport.TMemoryBuffer;
import org.apache.thrift.transport.TMemoryInputTransport;
import org.vanilladoor.allowance.GrantReply;
import org.vanilladoor.allowance.GrantRequest;

/**
 * Encodes and decodes the messages of {@code src/main/thrift/fleet.thrift}.
 *
 * <p>Written by hand over Thrift's protocol classes, field by field as the compiler's code does.
 * Unknown fields are skipped, and a missing field has its type's default. Stateless and safe for
 * use by any thread.
 */
final class FleetMessages {
    private static final String HEARTBEAT = "heartbeat";
    private static final TStruct ANY_STRUCT = new TStruct("");
    private static final int INITIAL_BYTES = 256;
    private static final int MAXIMUM_NESTING = 16;

    /** Longest text and longest list that are read; a list has one entry for each team. */
    private static final int MAXIMUM_TEXT_BYTES = 4_096;

    private static final int MAXIMUM_ENTRIES = 2_000;

    /** Combines the number and the type of a field into one number. */
    private static final int FIELD_FACTOR = 256;

    private FleetMessages() {}

    static byte[] encode(Heartbeat heartbeat) {
        return write(
                TMessageType.CALL,
                protocol -> {
                    beginField(protocol, TType.STRUCT, 1);
                    writeHeartbeat(protocol, heartbeat);
                });
    }

    static byte[] encode(HeartbeatResponse response) {
        return write(
                TMessageType.REPLY,
                protocol -> {
                    if (response instanceof HeartbeatResponse.Granted granted) {
                        beginField(protocol, TType.STRUCT, 0);
                        writeReply(protocol, granted.reply());
                    } else if (response instanceof HeartbeatResponse.Refused refused) {
                        beginField(protocol, TType.STRUCT, 1);
                        writeInt(protocol, 1, refused.reason().number());
                        writeLong(protocol, 2, refused.sequence());
                        protocol.writeFieldStop();
                    }
                });
    }

    /**
     * Decodes a heartbeat.
     *
     * @throws TException if the message is not one
     */
    static Heartbeat decodeHeartbeat(byte[] message) throws TException {
        HeartbeatReader reader = new HeartbeatReader();
        read(
                message,
                TMessageType.CALL,
                (protocol, field) -> {
                    if (field.id != 1 || field.type != TType.STRUCT) {
                        return false;
                    }
                    readStruct(protocol, reader);
                    return true;
                });
        return reader.result();
    }

    /**
     * Decodes a response.
     *
     * @throws TException if the message is not one
     */
    static HeartbeatResponse decodeResponse(byte[] message) throws TException {
        ResponseReader reader = new ResponseReader();
        read(message, TMessageType.REPLY, reader);
        return reader.result();
    }

    private static void writeHeartbeat(TProtocol protocol, Heartbeat heartbeat) throws TException {
        GrantRequest request = heartbeat.request();
        writeText(protocol, 1, heartbeat.secret());
        writeText(protocol, 2, request.vm());
        writeText(protocol, 3, request.incarnation());
        writeLong(protocol, 4, request.sequence());
        writeLong(protocol, 5, request.term());
        beginField(protocol, TType.LIST, 6);
        protocol.writeListBegin(new TList(TType.STRUCT, request.entries().size()));
        for (GrantRequest.Entry entry : request.entries()) {
            writeText(protocol, 1, entry.team());
            writeDouble(protocol, 2, entry.wanted());
            writeDouble(protocol, 3, entry.needed());
            writeDouble(protocol, 4, entry.returned());
            protocol.writeFieldStop();
        }
        protocol.writeFieldStop();
    }

    private static void writeReply(TProtocol protocol, GrantReply reply) throws TException {
        writeLong(protocol, 1, reply.term());
        writeLong(protocol, 2, reply.sequence());
        beginField(protocol, TType.LIST, 3);
        protocol.writeListBegin(new TList(TType.STRUCT, reply.entries().size()));
        for (GrantReply.Entry entry : reply.entries()) {
            writeText(protocol, 1, entry.team());
            writeDouble(protocol, 2, entry.granted());
            writeLong(protocol, 3, entry.millisUntilRoom());
            protocol.writeFieldStop();
        }
        protocol.writeFieldStop();
    }

    private static byte[] write(byte type, FieldWriter content) {
        try {
            TMemoryBuffer buffer = new TMemoryBuffer(INITIAL_BYTES);
            TProtocol protocol = new TBinaryProtocol(buffer);
            protocol.writeMessageBegin(new TMessage(HEARTBEAT, type, 0));
            content.write(protocol);
            protocol.writeFieldStop();
            protocol.writeMessageEnd();
            return Arrays.copyOf(buffer.getArray(), buffer.length());
        } catch (TException e) {
            throw new IllegalStateException("a message could not be encoded", e);
        }
    }

    private static void read(byte[] message, byte type, FieldReader reader) throws TException {
        try {
            readMessage(message, type, reader);
        } catch (RuntimeException e) {
            // The library checks neither negative lengths nor the end of the message everywhere.
            throw new TException("a message can't be decoded", e);
        }
    }

    private static void readMessage(byte[] message, byte type, FieldReader reader)
            throws TException {
        TConfiguration limits =
                new TConfiguration(
                        FrameLoop.MAXIMUM_FRAME_BYTES,
                        FrameLoop.MAXIMUM_FRAME_BYTES,
                        MAXIMUM_NESTING);
        TProtocol protocol =
                new TBinaryProtocol(
                        new TMemoryInputTransport(limits, message),
                        MAXIMUM_TEXT_BYTES,
                        MAXIMUM_ENTRIES,
                        true,
                        true);
        TMessage head = protocol.readMessageBegin();
        if (head.type != type || !head.name.equals(HEARTBEAT)) {
            throw new TException("unexpected message " + head.name + " of type " + head.type);
        }
        readStruct(protocol, reader);
    }

    private static void readStruct(TProtocol protocol, FieldReader reader) throws TException {
        protocol.readStructBegin();
        TField field = protocol.readFieldBegin();
        while (field.type != TType.STOP) {
            if (!reader.tryRead(protocol, field)) {
                TProtocolUtil.skip(protocol, field.type, MAXIMUM_NESTING);
            }
            field = protocol.readFieldBegin();
        }
        protocol.readStructEnd();
    }

    private static <T> List<T> readList(TProtocol protocol, StructReader<T> reader)
            throws TException {
        TList list = protocol.readListBegin();
        if (list.elemType != TType.STRUCT || list.size > MAXIMUM_ENTRIES) {
            throw new TException("a list of " + list.size + " elements of type " + list.elemType);
        }
        List<T> elements = new ArrayList<>();
        for (int index = 0; index < list.size; index++) {
            elements.add(reader.read(protocol));
        }
        return elements;
    }

    private static void beginField(TProtocol protocol, byte type, int number) throws TException {
        protocol.writeFieldBegin(new TField("", type, (short) number));
        if (type == TType.STRUCT) {
            protocol.writeStructBegin(ANY_STRUCT);
        }
    }

    private static void writeText(TProtocol protocol, int number, String text) throws TException {
        beginField(protocol, TType.STRING, number);
        protocol.writeString(text);
    }

    private static void writeInt(TProtocol protocol, int number, int value) throws TException {
        beginField(protocol, TType.I32, number);
        protocol.writeI32(value);
    }

    private static void writeLong(TProtocol protocol, int number, long value) throws TException {
        beginField(protocol, TType.I64, number);
        protocol.writeI64(value);
    }

    private static void writeDouble(TProtocol protocol, int number, double value)
            throws TException {
        beginField(protocol, TType.DOUBLE, number);
        protocol.writeDouble(value);
    }

    /** Writes the fields of a structure. */
    @FunctionalInterface
    private interface FieldWriter {
        void write(TProtocol protocol) throws TException;
    }

    /** Reads fields of a structure. */
    @FunctionalInterface
    private interface FieldReader {
        /** Reads the value of a field, or returns false if the field is unknown. */
        boolean tryRead(TProtocol protocol, TField field) throws TException;
    }

    /** Reads a structure. */
    @FunctionalInterface
    private interface StructReader<T> {
        T read(TProtocol protocol) throws TException;
    }

    /** Reads the fields of a heartbeat. */
    private static final class HeartbeatReader implements FieldReader {
        private String mSecret = "";
        private String mVm = "";
        private String mIncarnation = "";
        private long mSequence;
        private long mTerm;
        private List<GrantRequest.Entry> mEntries = List.of();

        @Override
        public boolean tryRead(TProtocol protocol, TField field) throws TException {
            switch (field.id * FIELD_FACTOR + field.type) {
                case FIELD_FACTOR + TType.STRING -> mSecret = protocol.readString();
                case 2 * FIELD_FACTOR + TType.STRING -> mVm = protocol.readString();
                case 3 * FIELD_FACTOR + TType.STRING -> mIncarnation = protocol.readString();
                case 4 * FIELD_FACTOR + TType.I64 -> mSequence = protocol.readI64();
                case 5 * FIELD_FACTOR + TType.I64 -> mTerm = protocol.readI64();
                case 6 * FIELD_FACTOR + TType.LIST ->
                        mEntries = readList(protocol, HeartbeatReader::readEntry);
                default -> {
                    return false;
                }
            }
            return true;
        }

        private static GrantRequest.Entry readEntry(TProtocol protocol) throws TException {
            EntryReader entry = new EntryReader();
            readStruct(protocol, entry);
            return new GrantRequest.Entry(entry.mTeam, entry.mFirst, entry.mSecond, entry.mThird);
        }

        Heartbeat result() {
            return new Heartbeat(
                    mSecret, new GrantRequest(mVm, mIncarnation, mSequence, mTerm, mEntries));
        }
    }

    /** Reads the fields of a response: the reply or a refusal. */
    private static final class ResponseReader implements FieldReader {
        private HeartbeatResponse mResult;
        private long mTerm;
        private long mSequence;
        private int mReason;
        private List<GrantReply.Entry> mEntries = List.of();

        @Override
        public boolean tryRead(TProtocol protocol, TField field) throws TException {
            if (field.type != TType.STRUCT) {
                return false;
            }
            switch (field.id) {
                case 0 -> {
                    readStruct(protocol, this::tryReadReply);
                    mResult =
                            new HeartbeatResponse.Granted(
                                    new GrantReply(mTerm, mSequence, mEntries));
                }
                case 1 -> {
                    readStruct(protocol, this::tryReadRefusal);
                    mResult =
                            new HeartbeatResponse.Refused(
                                    HeartbeatResponse.Reason.of(mReason), mSequence);
                }
                default -> {
                    return false;
                }
            }
            return true;
        }

        private boolean tryReadReply(TProtocol protocol, TField field) throws TException {
            switch (field.id * FIELD_FACTOR + field.type) {
                case FIELD_FACTOR + TType.I64 -> mTerm = protocol.readI64();
                case 2 * FIELD_FACTOR + TType.I64 -> mSequence = protocol.readI64();
                case 3 * FIELD_FACTOR + TType.LIST ->
                        mEntries = readList(protocol, ResponseReader::readEntry);
                default -> {
                    return false;
                }
            }
            return true;
        }

        private boolean tryReadRefusal(TProtocol protocol, TField field) throws TException {
            switch (field.id * FIELD_FACTOR + field.type) {
                case FIELD_FACTOR + TType.I32 -> mReason = protocol.readI32();
                case 2 * FIELD_FACTOR + TType.I64 -> mSequence = protocol.readI64();
                default -> {
                    return false;
                }
            }
            return true;
        }

        private static GrantReply.Entry readEntry(TProtocol protocol) throws TException {
            EntryReader entry = new EntryReader();
            readStruct(protocol, entry);
            return new GrantReply.Entry(entry.mTeam, entry.mFirst, entry.mMillis);
        }

        HeartbeatResponse result() throws TException {
            if (mResult == null) {
                throw new TException("the response is neither a reply nor a refusal");
            }
            return mResult;
        }
    }

    /** Reads the entry of one team, of either message. */
    private static final class EntryReader implements FieldReader {
        private String mTeam = "";
        private double mFirst;
        private double mSecond;
        private double mThird;
        private long mMillis;

        @Override
        public boolean tryRead(TProtocol protocol, TField field) throws TException {
            switch (field.id * FIELD_FACTOR + field.type) {
                case FIELD_FACTOR + TType.STRING -> mTeam = protocol.readString();
                case 2 * FIELD_FACTOR + TType.DOUBLE -> mFirst = finite(protocol.readDouble());
                case 3 * FIELD_FACTOR + TType.DOUBLE -> mSecond = finite(protocol.readDouble());
                case 4 * FIELD_FACTOR + TType.DOUBLE -> mThird = finite(protocol.readDouble());
                case 3 * FIELD_FACTOR + TType.I64 -> mMillis = protocol.readI64();
                default -> {
                    return false;
                }
            }
            return true;
        }

        private static double finite(double value) throws TException {
            if (!(value >= 0) || Double.isInfinite(value)) {
                throw new TException("a quantity is negative or not finite: " + value);
            }
            return value;
        }
    }
}
