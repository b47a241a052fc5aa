package org.vanilladoor.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Tests that an event stream is released in complete, unmodified events. */
class EventAssemblerTests {
    private static final String STREAM =
            "id: 1\ndata: one\n\nid: 2\r\ndata: two\r\n\r\nid:3\ndata: three\ndata: more\n\n";

    @Test
    void incompleteEventIsHeldBackUntilItIsComplete() {
        EventAssembler assembler = EventAssembler.after(Optional.empty());
        assertThat(text(assembler.add(bytes("id: 1\ndata: o")))).isEmpty();
        assertThat(assembler.endsAtEventBoundary()).isFalse();
        assertThat(text(assembler.add(bytes("ne\n\nid: 2\nda")))).isEqualTo("id: 1\ndata: one\n\n");
        assertThat(assembler.lastIdentifier()).hasValue("1");
        assertThat(assembler.endsAtEventBoundary()).isFalse();
    }

    @Property(tries = 500, seed = "8201")
    void eventsAreReleasedCompleteAndUnchangedHoweverTheBytesAreSplit(
            @ForAll @Size(min = 1, max = 40)
                    List<@IntRange(min = 1, max = 9) Integer> pieceLengths) {
        EventAssembler assembler = EventAssembler.after(Optional.empty());
        ByteArrayOutputStream released = new ByteArrayOutputStream();
        byte[] stream = bytes(STREAM);
        int start = 0;
        for (int index = 0; start < stream.length; index++) {
            int end =
                    Math.min(stream.length, start + pieceLengths.get(index % pieceLengths.size()));
            byte[] completeEvents = assembler.add(java.util.Arrays.copyOfRange(stream, start, end));
            if (completeEvents.length > 0) {
                assertThat(text(completeEvents)).matches("(?s).*\\n\\r?\\n");
            }
            released.writeBytes(completeEvents);
            start = end;
        }
        assertThat(text(released.toByteArray())).isEqualTo(STREAM);
        assertThat(assembler.endsAtEventBoundary()).isTrue();
        assertThat(assembler.lastIdentifier()).hasValue("3");
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.UTF_8);
    }
}
