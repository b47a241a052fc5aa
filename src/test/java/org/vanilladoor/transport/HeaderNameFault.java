package org.vanilladoor.transport;

import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Where a byte that no header name may contain stands in such a name.
 *
 * <p>Immutable and safe for use by any thread.
 */
public enum HeaderNameFault {
    BEFORE_THE_FIRST_CHARACTER {
        @Override
        public String apply(String name, char invalid) {
            return invalid + name;
        }
    },
    INSTEAD_OF_THE_FIRST_CHARACTER {
        @Override
        public String apply(String name, char invalid) {
            return invalid + name.substring(1);
        }
    },
    INSIDE {
        @Override
        public String apply(String name, char invalid) {
            int middle = name.length() / 2;
            return name.substring(0, middle) + invalid + name.substring(middle);
        }
    },
    INSTEAD_OF_AN_INNER_CHARACTER {
        @Override
        public String apply(String name, char invalid) {
            int middle = name.length() / 2;
            return name.substring(0, middle) + invalid + name.substring(middle + 1);
        }
    },
    BEFORE_THE_LAST_CHARACTER {
        @Override
        public String apply(String name, char invalid) {
            int last = name.length() - 1;
            return name.substring(0, last) + invalid + name.substring(last);
        }
    },
    INSTEAD_OF_THE_LAST_CHARACTER {
        @Override
        public String apply(String name, char invalid) {
            return name.substring(0, name.length() - 1) + invalid;
        }
    },
    BEFORE_THE_COLON {
        @Override
        public String apply(String name, char invalid) {
            return name + invalid;
        }
    };

    private static final int SPACE = 0x20;

    /** All blanks and control characters of ISO 8859-1. */
    public static final List<Character> INVALID_CHARACTERS =
            Stream.of(
                            IntStream.rangeClosed(0, SPACE),
                            IntStream.rangeClosed(0x7F, 0x9F),
                            IntStream.of(0xA0))
                    .flatMapToInt(range -> range)
                    .mapToObj(code -> (char) code)
                    .toList();

    /** Blanks, ends of lines, and control characters of each block of ISO 8859-1. */
    public static final List<Character> SOME_INVALID_CHARACTERS =
            List.of('\0', '\t', '\n', '\u000B', '\r', '\u001B', ' ', '\u007F', '\u0085', '\u00A0');

    /** Returns the name with an invalid character. */
    public abstract String apply(String name, char invalid);

    /** Returns a text in which the name of one header has an invalid character. */
    public final String applyIn(String text, String name, char invalid) {
        return text.replace(name + ":", apply(name, invalid) + ":");
    }

    /** Returns a description for the message of an assertion. */
    public final String describe(String name, char invalid) {
        return "%s with 0x%02x %s".formatted(name, (int) invalid, this);
    }
}
