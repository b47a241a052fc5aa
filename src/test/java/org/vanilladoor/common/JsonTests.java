package org.vanilladoor.common;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Guards against names in messages of others that take memory for as long as the process runs. */
class JsonTests {
    private static final int LONG_NAME_LENGTH = 10_000;

    @Test
    void anObjectWithALongNameIsRejected() {
        byte[] json = object("n".repeat(LONG_NAME_LENGTH));
        assertThrows(UncheckedIOException.class, () -> Json.readTree(json));
    }

    @Test
    void namesAreNotInterned() {
        String name = "name-" + System.nanoTime();
        String read = Json.readTree(object(name)).fieldNames().next();
        assertThat(read).isEqualTo(name);
        assertThat(new String(name).intern()).isNotSameInstanceAs(read);
    }

    private static byte[] object(String name) {
        return ("{\"" + name + "\":1}").getBytes(StandardCharsets.UTF_8);
    }
}
