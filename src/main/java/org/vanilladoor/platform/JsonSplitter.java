package org.vanilladoor.platform;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Splits a JSON object that arrives in parts into its fields, and those that are lists of entries
 * into their entries, without decoding them.
 *
 * <p>Only strings and brackets are recognized, so a value may contain numbers, names, encodings and
 * nesting of any kind without affecting the values around it. Invariants: the memory used depends
 * neither on the depth of a value nor, beyond {@code maximumValueBytes}, on its size; only the
 * beginning of a longer value is kept, nothing of an unwanted field, and entries are handed on, not
 * kept. Not safe for use by several threads.
 */
final class JsonSplitter {
    /** Kept of a value that is too long; enough for the name of an object in the store. */
    private static final int KEPT_BYTES_OF_LONG_VALUE = 4_096;

    /** Memory that a kept value takes besides its content, with its name. */
    private static final int OVERHEAD_BYTES = 160;

    private static final int INITIAL_CAPACITY = 512;
    private static final int DEPTH_OF_FIELDS = 1;
    private static final int DEPTH_OF_ENTRIES = 2;

    private final Set<String> mListFields;
    private final int mMaximumValueBytes;
    private final Predicate<String> mWantedFields;
    private final Consumer<byte[]> mEntryListener;
    private final Map<String, byte[]> mFields = new HashMap<>();
    private byte[] mValue = new byte[INITIAL_CAPACITY];
    private int mValueLength;
    private String mFieldName = "";
    private boolean mValueIsTooLong;
    private boolean mValueIsUnwanted;
    private boolean mInString;
    private boolean mAfterBackslash;
    private boolean mInList;
    private int mDepth;
    private boolean mComplete;
    private int mSize;

    private JsonSplitter(
            Set<String> listFields,
            int maximumValueBytes,
            Predicate<String> wantedFields,
            Consumer<byte[]> entryListener) {
        mListFields = listFields;
        mMaximumValueBytes = maximumValueBytes;
        mWantedFields = wantedFields;
        mEntryListener = entryListener;
    }

    /**
     * Returns a splitter that has received nothing.
     *
     * @param listFields names of the fields whose elements are split from each other
     * @param maximumValueBytes maximum size of a field or entry that is kept completely
     * @param entryListener receives the JSON of each entry of the lists in order; only the
     *     beginning of long ones
     */
    static JsonSplitter create(
            Set<String> listFields, int maximumValueBytes, Consumer<byte[]> entryListener) {
        return new JsonSplitter(listFields, maximumValueBytes, name -> true, entryListener);
    }

    /**
     * Returns the wanted fields of an object, of which only the beginning may be present; then the
     * last field is incomplete if it is an object.
     */
    static Map<String, byte[]> fieldsOf(byte[] object, Predicate<String> wantedFields) {
        JsonSplitter splitter =
                new JsonSplitter(Set.of(), Integer.MAX_VALUE, wantedFields, entry -> {});
        splitter.write(object);
        boolean endsInObject =
                !splitter.mFieldName.isEmpty()
                        && splitter.mValueLength > 0
                        && splitter.mValue[0] == '{';
        if (endsInObject) {
            splitter.endValue();
        }
        return splitter.fields();
    }

    /** Receives the next part of the object. */
    void write(byte[] bytes) {
        for (byte each : bytes) {
            accept(each);
        }
    }

    /** Returns whether the end of the object has arrived. */
    boolean isComplete() {
        return mComplete;
    }

    /** Returns the memory that the kept fields and the present value take, in bytes. */
    int size() {
        return mSize + mValueLength;
    }

    /** Returns the JSON of each completely received field, by name, without the lists. */
    Map<String, byte[]> fields() {
        return Map.copyOf(mFields);
    }

    private void accept(byte each) {
        if (mInString) {
            append(each);
            if (mAfterBackslash) {
                mAfterBackslash = false;
            } else if (each == '\\') {
                mAfterBackslash = true;
            } else if (each == '"') {
                mInString = false;
            }
            return;
        }
        switch (each) {
            case '"' -> {
                mInString = true;
                append(each);
            }
            case '{', '[' -> open(each);
            case '}', ']' -> close(each);
            case ',' -> {
                if (isBetweenValues()) {
                    endValue();
                } else {
                    append(each);
                }
            }
            case ':' -> {
                if (mDepth == DEPTH_OF_FIELDS) {
                    mFieldName = fieldName(takeValue().orElse(new byte[0]));
                    mValueIsUnwanted = !mWantedFields.test(mFieldName);
                } else {
                    append(each);
                }
            }
            default -> append(each);
        }
    }

    private void open(byte bracket) {
        boolean isList =
                mDepth == DEPTH_OF_FIELDS && bracket == '[' && mListFields.contains(mFieldName);
        if (isList) {
            mInList = true;
            takeValue();
        } else if (mDepth > 0) {
            append(bracket);
        }
        mDepth++;
    }

    private void close(byte bracket) {
        if (isBetweenValues()) {
            endValue();
            mInList = false;
            mComplete |= mDepth == DEPTH_OF_FIELDS;
        } else {
            append(bracket);
        }
        mDepth--;
    }

    private boolean isBetweenValues() {
        return mDepth == (mInList ? DEPTH_OF_ENTRIES : DEPTH_OF_FIELDS);
    }

    private void endValue() {
        boolean isTooLong = mValueIsTooLong;
        takeValue().ifPresent(value -> keep(value, isTooLong));
    }

    private void keep(byte[] value, boolean isTooLong) {
        if (mInList) {
            mEntryListener.accept(value);
        } else if (!isTooLong) {
            mFields.put(mFieldName, value);
            mSize += value.length + OVERHEAD_BYTES;
        }
        if (!mInList) {
            mFieldName = "";
        }
    }

    private void append(byte each) {
        boolean isBlank = each == ' ' || each == '\n' || each == '\r' || each == '\t';
        boolean isKept = mDepth > 0 && !mValueIsTooLong && !mValueIsUnwanted;
        if (!isKept || isBlank && mValueLength == 0) {
            return;
        }
        if (mValueLength == mMaximumValueBytes) {
            mValueIsTooLong = true;
            mValueLength = Math.min(mValueLength, KEPT_BYTES_OF_LONG_VALUE);
            mValue = Arrays.copyOf(mValue, mValueLength);
            return;
        }
        if (mValueLength == mValue.length) {
            mValue = Arrays.copyOf(mValue, Math.max(INITIAL_CAPACITY, 2 * mValueLength));
        }
        mValue[mValueLength] = each;
        mValueLength++;
    }

    /** Returns the value that has been received, if there is one, and begins a new one. */
    private Optional<byte[]> takeValue() {
        Optional<byte[]> value =
                mValueLength == 0
                        ? Optional.empty()
                        : Optional.of(Arrays.copyOf(mValue, mValueLength));
        mValueLength = 0;
        mValueIsTooLong = false;
        mValueIsUnwanted = false;
        return value;
    }

    private static String fieldName(byte[] quoted) {
        String text = new String(quoted, StandardCharsets.UTF_8).strip();
        return text.length() < 2 ? "" : text.substring(1, text.length() - 1);
    }
}
