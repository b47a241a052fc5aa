package org.vanilladoor.settings;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;
import org.vanilladoor.common.Finding;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.common.InvalidInputException;

/**
 * A table of a TOML file, read with checks that collect findings.
 *
 * <p>Invariant: a reader of a value returns a usable stand-in after adding a finding, so that one
 * pass reports everything. Not safe for use by several threads.
 */
public final class TomlSection {
    private final String mFile;
    private final String mPrefix;
    private final TomlTable mTable;
    private final int mLine;
    private final List<Finding> mFindings;
    private final Set<String> mKnownKeys = new HashSet<>();
    private final List<TomlSection> mChildren = new ArrayList<>();

    private TomlSection(
            String file, String prefix, TomlTable table, int line, List<Finding> findings) {
        mFile = file;
        mPrefix = prefix;
        mTable = table;
        mLine = line;
        mFindings = findings;
    }

    /**
     * Returns the top table of a file.
     *
     * @param file name for the findings
     * @param text the file's text
     * @throws InvalidInputException with every place at which the text is not TOML
     */
    public static TomlSection parse(String file, String text) {
        TomlParseResult result = Toml.parse(text);
        List<Finding> findings = new ArrayList<>();
        result.errors()
                .forEach(
                        error ->
                                findings.add(
                                        new Finding(
                                                file,
                                                error.position().line(),
                                                "",
                                                error.getMessage())));
        if (!findings.isEmpty()) {
            throw new InvalidInputException(findings);
        }
        return new TomlSection(file, "", result, 0, findings);
    }

    /** Returns a table below this one; a table that is absent reads as an empty one. */
    public TomlSection section(String key) {
        mKnownKeys.add(key);
        TomlTable table = null;
        if (mTable.isTable(key)) {
            table = mTable.getTable(key);
        } else if (mTable.contains(key)) {
            addFinding(key, "is not a table");
        }
        TomlTable present = table == null ? Toml.parse("") : table;
        return child(present, mPrefix + key + ".", lineOf(key));
    }

    /** Returns the tables of an array of tables. */
    public List<TomlSection> sections(String key) {
        mKnownKeys.add(key);
        if (!mTable.contains(key)) {
            return List.of();
        }
        if (!mTable.isArray(key)) {
            addFinding(key, "is not an array of tables");
            return List.of();
        }
        TomlArray array = mTable.getArray(key);
        List<TomlSection> sections = new ArrayList<>();
        for (int i = 0; i < array.size(); i++) {
            if (array.get(i) instanceof TomlTable table) {
                int line = array.inputPositionOf(i).line();
                sections.add(child(table, mPrefix + key + "[" + i + "].", line));
            } else {
                addFinding(key, "holds something other than tables");
            }
        }
        return sections;
    }

    /** Returns a text that has to be there. */
    public String requiredText(String key) {
        return optionalText(key)
                .orElseGet(
                        () -> {
                            if (!mTable.contains(key)) {
                                addFinding(key, "is missing");
                            }
                            return "";
                        });
    }

    /** Returns a text if it is there. */
    public Optional<String> optionalText(String key) {
        mKnownKeys.add(key);
        Object value = mTable.get(List.of(key));
        if (value == null) {
            return Optional.empty();
        }
        if (value instanceof String text && !text.isBlank()) {
            return Optional.of(text);
        }
        addFinding(key, "is not a text with something in it: " + value);
        return Optional.empty();
    }

    /** Returns a whole number within bounds, or the default if it is not there. */
    public long integer(String key, long minimum, long maximum, long defaultValue) {
        mKnownKeys.add(key);
        Object value = mTable.get(List.of(key));
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof Long number && number >= minimum && number <= maximum) {
            return number;
        }
        addFinding(key, "is not a whole number from " + minimum + " to " + maximum + ": " + value);
        return defaultValue;
    }

    /** Returns a number within bounds, or the default if it is not there. */
    public double number(String key, double minimum, double maximum, double defaultValue) {
        mKnownKeys.add(key);
        Object value = mTable.get(List.of(key));
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof Number number
                && number.doubleValue() >= minimum
                && number.doubleValue() <= maximum) {
            return number.doubleValue();
        }
        addFinding(key, "is not a number from " + minimum + " to " + maximum + ": " + value);
        return defaultValue;
    }

    /** Returns true or false, or the default if it is not there. */
    public boolean flag(String key, boolean defaultValue) {
        mKnownKeys.add(key);
        Object value = mTable.get(List.of(key));
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof Boolean flag) {
            return flag;
        }
        addFinding(key, "is neither true nor false: " + value);
        return defaultValue;
    }

    /** Returns a list of texts, empty if it is not there. */
    public List<String> textList(String key) {
        mKnownKeys.add(key);
        Object value = mTable.get(List.of(key));
        if (value == null) {
            return List.of();
        }
        List<String> texts = new ArrayList<>();
        if (value instanceof TomlArray array) {
            for (Object element : array.toList()) {
                if (element instanceof String text) {
                    texts.add(text);
                } else {
                    addFinding(key, "holds something other than text: " + element);
                }
            }
        } else {
            addFinding(key, "is not a list of texts: " + value);
        }
        return texts;
    }

    /** Returns an address that has to be there. */
    public HostPort requiredAddress(String key) {
        return parsed(key, requiredText(key), HostPort::parse, new HostPort("127.0.0.1", 0));
    }

    /** Returns a list of addresses, empty if it is not there. */
    public List<HostPort> addressList(String key) {
        HostPort standIn = new HostPort("127.0.0.1", 0);
        return textList(key).stream()
                .map(text -> parsed(key, text, HostPort::parse, standIn))
                .toList();
    }

    /** Returns a constant of an enum by its lower-case name. */
    public <E extends Enum<E>> E enumConstant(String key, Class<E> type, E defaultValue) {
        Optional<String> text = optionalText(key);
        for (E constant : type.getEnumConstants()) {
            if (text.isPresent() && constant.name().equalsIgnoreCase(text.get())) {
                return constant;
            }
        }
        text.ifPresent(value -> addFinding(key, "is not one of the known values: " + value));
        return defaultValue;
    }

    /** Adds a finding about a key of this table. */
    public void addFinding(String key, String message) {
        mFindings.add(new Finding(mFile, lineOf(key), mPrefix + key, message));
    }

    /**
     * Ends the reading of a file.
     *
     * @throws InvalidInputException if anything was found, unknown keys among it
     */
    public void throwIfInvalid() {
        reportUnknownKeys();
        throwIfInvalidIgnoringUnknownKeys();
    }

    /**
     * Ends the reading of a file that may hold keys of a later version.
     *
     * @throws InvalidInputException if anything was found; unknown keys are passed over
     */
    public void throwIfInvalidIgnoringUnknownKeys() {
        if (!mFindings.isEmpty()) {
            mFindings.sort((first, second) -> Integer.compare(first.line(), second.line()));
            throw new InvalidInputException(mFindings);
        }
    }

    private void reportUnknownKeys() {
        for (String key : mTable.keySet()) {
            if (!mKnownKeys.contains(key)) {
                addFinding(key, "is not a known key");
            }
        }
        mChildren.forEach(TomlSection::reportUnknownKeys);
    }

    private <T> T parsed(String key, String text, Function<String, T> parser, T standIn) {
        if (text.isEmpty()) {
            return standIn;
        }
        try {
            return parser.apply(text);
        } catch (IllegalArgumentException e) {
            addFinding(key, e.getMessage());
            return standIn;
        }
    }

    private TomlSection child(TomlTable table, String prefix, int line) {
        TomlSection section = new TomlSection(mFile, prefix, table, line, mFindings);
        mChildren.add(section);
        return section;
    }

    private int lineOf(String key) {
        TomlPosition position = mTable.inputPositionOf(List.of(key));
        return position == null ? mLine : position.line();
    }
}
