package org.vanilladoor.platform;

import java.util.function.IntFunction;

/**
 * Entries of about 24 MB altogether, each within the store's limit, whose decoded form takes many
 * times as much.
 */
enum LargeContent {
    /** Lists where the address is due. */
    LARGE_ADDRESSES(24, index -> "{\"service\":\"plain\",\"addr\":" + lists(340_000) + "}"),
    /** The same bytes in many entries. */
    SMALL_ENTRIES(6_000, index -> "{\"service\":\"plain\",\"addr\":" + lists(1_360) + "}"),
    /** Sound endpoints of a service that no configuration names. */
    UNKNOWN_FIELDS(24, index -> endpoint(index, "\"more\":" + lists(330_000))),
    /** The same in the status, which other VMs write. */
    LARGE_STATUSES(24, index -> endpoint(index, "\"more\":1")) {
        @Override
        byte[] status() {
            return RawObjectStore.utf8("{\"crash\":" + lists(330_000) + "}");
        }
    },
    LONG_NAMES(24, index -> endpoint(index, names(24, index + "n".repeat(40_000)))),
    MANY_NAMES(24, index -> endpoint(index, names(70_000, index + "n"))),
    LONG_TEXTS(
            24,
            index ->
                    "{\"service\":\""
                            + "s".repeat(500_000)
                            + "\",\"zone\":\""
                            + "z".repeat(500_000)
                            + "\"}"),
    /** Not valid, so that its fields are decoded one by one. */
    INVALID_OBJECTS(24, index -> endpoint(index, "\"more\":" + lists(330_000) + " 7"));

    private final int mCount;
    private final IntFunction<String> mSpec;

    LargeContent(int count, IntFunction<String> spec) {
        mCount = count;
        mSpec = spec;
    }

    int count() {
        return mCount;
    }

    byte[] spec(int index) {
        return RawObjectStore.utf8(mSpec.apply(index));
    }

    byte[] status() {
        return RawObjectStore.utf8("null");
    }

    private static String endpoint(int index, String furtherFields) {
        return "{\"service\":\"other\",\"addr\":\"127.0.0.1:"
                + (1_000 + index)
                + "\",\"zone\":\"a\",\"slots\":8,\"state\":\"ready\",\"born\":5,"
                + furtherFields
                + "}";
    }

    private static String lists(int count) {
        return "[" + "[],".repeat(count - 1) + "[]]";
    }

    private static String names(int count, String prefix) {
        StringBuilder fields = new StringBuilder();
        for (int number = 0; number < count; number++) {
            fields.append('"').append(prefix).append(number).append("\":[],");
        }
        return fields.append("\"last\":1").toString();
    }
}
