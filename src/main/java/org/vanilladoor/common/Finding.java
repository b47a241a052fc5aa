package org.vanilladoor.common;

import java.util.Objects;

/**
 * One thing wrong with an input, with the place where it stands.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param file the file or object the input came from
 * @param line line in the file, counted from 1, or 0 where no line applies
 * @param key dotted key of the value at fault, or an empty string
 * @param message what is wrong, with the value at fault
 */
public record Finding(String file, int line, String key, String message) {
    public Finding {
        Objects.requireNonNull(file, "file");
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(message, "message");
    }

    @Override
    public String toString() {
        String place = line > 0 ? file + ":" + line : file;
        return key.isEmpty() ? place + ": " + message : place + ": " + key + ": " + message;
    }
}
