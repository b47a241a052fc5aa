package org.vanilladoor.platform;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.vanilladoor.common.Json;

/** Guards against trees that take many times the memory of the JSON that another writer chose. */
class BoundedJsonDecoderTests {
    private static final int MAXIMUM_BYTES = 10_000;
    private static final JsonSelection NAME =
            JsonSelection.ofFields(Map.of("name", JsonSelection.SCALAR));
    private final BoundedJsonDecoder mDecoder = BoundedJsonDecoder.create(MAXIMUM_BYTES);

    @ParameterizedTest
    @ValueSource(
            strings = {
                "{\"a\":[1,-2,3000000000,99999999999999999999,1.5,-1e3,true,false,null,\"t\"]}",
                "{\"a\":{\"b\":{},\"c\":[],\"\":\"\\u00e9\\n\\ud83d\\ude00\"},\"a2\":[[[]]]}",
                "[]",
                "7",
                "\"text\"",
                " { \"a\" : 1 } "
            })
    void everythingIsDecodedAsByTheLibrary(String json) {
        assertThat(decode(json, JsonSelection.EVERYTHING)).isEqualTo(Json.readTree(utf8(json)));
    }

    @ParameterizedTest
    @ValueSource(strings = {"{\"a\":1} 2", "{\"a\":}", "{\"a\":1", "", "{'a':1}", "[1,]", "nul"})
    void whatIsNotValidIsRejected(String json) {
        assertThrows(UncheckedIOException.class, () -> decode(json, JsonSelection.EVERYTHING));
    }

    @Test
    void invalidUtf8IsRejectedInPartsThatAreLeftOutToo() {
        byte[] json = utf8("{\"name\":\"n\",\"more\":\"?\"}");
        json[json.length - 3] = (byte) 0xff;
        assertThrows(UncheckedIOException.class, () -> mDecoder.decode(json, NAME));
    }

    @Test
    void aTreeLargerThanTheMaximumIsRejected() {
        String lists = "[" + "[],".repeat(200) + "[]]";
        assertThrows(UncheckedIOException.class, () -> decode(lists, JsonSelection.EVERYTHING));
        String names = "{\"" + "n".repeat(6_000) + "\":1}";
        assertThrows(UncheckedIOException.class, () -> decode(names, JsonSelection.EVERYTHING));
    }

    @Test
    void partsThatAreNotSelectedTakeNothingOfTheMaximum() {
        String json = "{\"more\":[" + "{\"x\":[]},".repeat(50_000) + "1],\"name\":\"n\",\"n2\":{}}";
        BoundedJsonDecoder.Decoded decoded = mDecoder.decode(utf8(json), NAME);
        assertThat(decoded.value()).isEqualTo(Json.newObject().put("name", "n"));
        assertThat(decoded.bytes()).isLessThan(500);
    }

    @Test
    void anArrayAnObjectOrALongTextInPlaceOfAScalarIsThereButEmpty() {
        assertThat(decode("{\"name\":[1,2]}", NAME).path("name").isArray()).isTrue();
        assertThat(decode("{\"name\":{\"a\":1}}", NAME).path("name").isObject()).isTrue();
        JsonNode text = decode("{\"name\":\"" + "t".repeat(5_000) + "\"}", NAME).path("name");
        assertThat(text.isArray()).isTrue();
        assertThat(text.isEmpty()).isTrue();
    }

    @Test
    void aRepeatedFieldCountsOnce() {
        String json = "{" + "\"name\":\"first\",".repeat(1_000) + "\"name\":\"last\"}";
        BoundedJsonDecoder.Decoded decoded = mDecoder.decode(utf8(json), NAME);
        assertThat(decoded.value()).isEqualTo(Json.newObject().put("name", "last"));
        assertThat(decoded.bytes()).isLessThan(500);
    }

    @Test
    void anEncodedValueIsKeptAsItsJson() throws Exception {
        JsonSelection selection = JsonSelection.ofFields(Map.of("spec", JsonSelection.ENCODED));
        String spec = "{\"a\":[1,{}],\"\u00e9\":\"}\"}";
        JsonNode decoded = decode("{\"x\":[], \"spec\" : " + spec + " ,\"y\":1}", selection);
        assertThat(new String(decoded.path("spec").binaryValue(), StandardCharsets.UTF_8))
                .isEqualTo(spec);
    }

    private JsonNode decode(String json, JsonSelection selection) {
        return mDecoder.decode(utf8(json), selection).value();
    }

    private static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
