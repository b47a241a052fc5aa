package org.vanilladoor.platform;

import java.io.ByteArrayOutputStream;
import java.util.function.IntFunction;

/** Content that another writer may leave in the store; each kind takes a size. */
enum OddContent {
    DEEP_ARRAYS(size -> utf8("{\"x\":" + "[".repeat(size) + "]".repeat(size) + "}")),
    DEEP_OBJECTS(size -> utf8("{\"x\":".repeat(size) + "1" + "}".repeat(size))),
    LONG_INTEGER(size -> utf8("{\"x\":" + "9".repeat(size) + "}")),
    LONG_FRACTION(size -> utf8("{\"x\":0." + "9".repeat(size) + "}")),
    HUGE_EXPONENT(size -> utf8("{\"slots\":1e999999999,\"x\":-1E+" + "9".repeat(size) + "}")),
    LONG_NAME(size -> utf8("{\"" + "n".repeat(size) + "\":1}")),
    MANY_NAMES(
            size -> {
                StringBuilder text = new StringBuilder("{");
                for (int index = 0; index < size; index++) {
                    text.append("\"n").append(index).append("\":").append(index).append(',');
                }
                return utf8(text.append("\"last\":1}").toString());
            }),
    LONG_TEXT(size -> utf8("{\"service\":\"" + "t".repeat(size) + "\"}")),
    REPEATED_NAME(size -> utf8("{" + "\"state\":\"ready\",".repeat(size) + "\"state\":7}")),
    INVALID_UTF8(size -> bytesInText(0xff, 0xc0, 0xaf, 0xed, 0xa0, 0x80)),
    CONTROL_CHARACTERS(size -> bytesInText(0, 10, 13, 27)),
    LONE_SURROGATE(size -> utf8("{\"service\":\"\\ud800\",\"addr\":\"\\udfff\"}")),
    INVALID_ESCAPE(size -> utf8("{\"service\":\"\\q\\u12\"}")),
    BRACKETS_IN_TEXT(size -> utf8("{\"service\":\"" + "]}\\\",{[".repeat(size) + "\"}")),
    NOT_A_NUMBER(size -> utf8("{\"slots\":NaN,\"born\":-Infinity}")),
    BARE_WORD(size -> utf8("{\"state\":ready}")),
    MISSING_COMMA(size -> utf8("{\"state\":\"ready\" \"slots\":1 2}")),
    NULL(size -> utf8("null")),
    NUMBER(size -> utf8("7")),
    TEXT(size -> utf8("\"text\"")),
    ARRAY(size -> utf8("[1,{},[]]")),
    EMPTY(size -> utf8("{}")),
    OTHER_TYPES(
            size ->
                    utf8(
                            "{\"service\":{},\"addr\":[],\"zone\":1,\"slots\":\"8\",\"state\":null,"
                                    + "\"born\":true,\"phase\":[],\"version\":{},\"routes\":7,"
                                    + "\"holder\":[],\"parts\":[],\"usage\":{\"x\":[]},"
                                    + "\"candidates\":{},\"machine\":null}")),
    NULL_MEMBERS(
            size ->
                    utf8(
                            "{\"machine\":\"m\",\"incarnation\":\"i\",\"usage\":{\"5\":null},"
                                    + "\"work\":{\"s\":null},\"parts\":{\"p\":null},"
                                    + "\"candidates\":[null],\"holder\":null,\"routes\":[null],"
                                    + "\"version\":null}")),
    NULL_COUNTS(
            size ->
                    utf8(
                            "{\"machine\":\"m\",\"incarnation\":\"i\","
                                    + "\"usage\":{\"5\":{\"t\":null}},"
                                    + "\"parts\":{\"p\":{\"crashes\":[null]}}}")),
    NUMBERS_OUT_OF_RANGE(
            size ->
                    utf8(
                            "{\"machine\":\"m\",\"incarnation\":\"i\",\"wallMillis\":1e30,"
                                    + "\"usage\":{\"99999999999999999999\":{\"t\":1e400}},"
                                    + "\"beat\":99999999999999999999,\"living\":99999999999,"
                                    + "\"term\":1e300,\"holder\":\"h\",\"payload\":\"\"}"));

    private final IntFunction<byte[]> mContent;

    OddContent(IntFunction<byte[]> content) {
        mContent = content;
    }

    byte[] ofSize(int size) {
        return mContent.apply(size);
    }

    private static byte[] utf8(String text) {
        return RawObjectStore.utf8(text);
    }

    private static byte[] bytesInText(int... bytes) {
        ByteArrayOutputStream content = new ByteArrayOutputStream();
        content.writeBytes(utf8("{\"service\":\""));
        for (int each : bytes) {
            content.write(each);
        }
        content.writeBytes(utf8("\"}"));
        return content.toByteArray();
    }
}
