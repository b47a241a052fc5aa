package org.vanilladoor.common;

import java.util.Objects;

/**
 * An error in an input, with its location.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param file file or object that was read
 * @param line line in the file, counted from 1, or 0 if the error has no line
 * @param key dotted key of the invalid value, or an empty string
 * @param message description of the error, including the invalid value
 */
public record Finding(String file, int line, String key, String message) {
    public Finding {
        Objects.requireNonNull(file, "file");
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(message, "message");
    }

    @Override
    public String toString() {
        String location = line > 0 ? file + ":" + line : file;
        return key.isEmpty() ? location + ": " + message : location + ": " + key + ": " + message;
    }
}
