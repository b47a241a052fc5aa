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
import org.vanilladoor.common.PortRange;

/**
 * A table of a TOML file, whose accessors validate values and collect the errors found.
 *
 * <p>Invariant: an accessor that finds an invalid value records the error and returns a
 * placeholder, so that one pass reports all errors. Not safe for use by several threads.
 */
public final class TomlSection {
    private final String mFile;
    private final String mPrefix;
    private final TomlTable mTable;
    private final int mDefaultLine;
    private final List<Finding> mFindings;
    private final Set<String> mRequestedKeys = new HashSet<>();
    private final List<TomlSection> mChildren = new ArrayList<>();

    private TomlSection(
            String file, String prefix, TomlTable table, int line, List<Finding> findings) {
        mFile = file;
        mPrefix = prefix;
        mTable = table;
        mDefaultLine = line;
        mFindings = findings;
    }

    /**
     * Parses a file and returns its root table.
     *
     * @param file file name to use in error messages
     * @param text content of the file
     * @throws InvalidInputException with all syntax errors, if the text is not valid TOML
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

    /** Returns a sub-table; an absent one is returned as an empty table. */
    public TomlSection section(String key) {
        mRequestedKeys.add(key);
        TomlTable table = null;
        if (mTable.isTable(key)) {
            table = mTable.getTable(key);
        } else if (mTable.contains(key)) {
            addFinding(key, "is not a table");
        }
        TomlTable tableOrEmpty = table == null ? Toml.parse("") : table;
        return addChild(tableOrEmpty, mPrefix + key + ".", lineOf(key));
    }

    /** Returns the tables of an array of tables; an absent array is returned as an empty list. */
    public List<TomlSection> sections(String key) {
        mRequestedKeys.add(key);
        if (!mTable.contains(key)) {
            return List.of();
        }
        if (!mTable.isArray(key)) {
            addFinding(key, "is not an array of tables");
            return List.of();
        }
        TomlArray array = mTable.getArray(key);
        List<TomlSection> sections = new ArrayList<>();
        for (int index = 0; index < array.size(); index++) {
            if (array.get(index) instanceof TomlTable table) {
                int line = array.inputPositionOf(index).line();
                sections.add(addChild(table, mPrefix + key + "[" + index + "].", line));
            } else {
                addFinding(key, "contains an element that is not a table");
            }
        }
        return sections;
    }

    /** Returns a required text; a missing one is reported and returned as an empty string. */
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

    /** Returns a text, or empty if the key is absent; a blank text is reported as an error. */
    public Optional<String> optionalText(String key) {
        mRequestedKeys.add(key);
        Object value = mTable.get(List.of(key));
        if (value == null) {
            return Optional.empty();
        }
        if (value instanceof String text && !text.isBlank()) {
            return Optional.of(text);
        }
        addFinding(key, "is not a non-blank string: " + value);
        return Optional.empty();
    }

    /** Returns an integer within the bounds (inclusive), or the default if the key is absent. */
    public long integer(String key, long minimum, long maximum, long defaultValue) {
        mRequestedKeys.add(key);
        Object value = mTable.get(List.of(key));
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof Long number && number >= minimum && number <= maximum) {
            return number;
        }
        addFinding(key, "is not an integer from " + minimum + " to " + maximum + ": " + value);
        return defaultValue;
    }

    /** Returns a number within the bounds (inclusive), or the default if the key is absent. */
    public double number(String key, double minimum, double maximum, double defaultValue) {
        mRequestedKeys.add(key);
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

    /** Returns a boolean, or the default if the key is absent. */
    public boolean flag(String key, boolean defaultValue) {
        mRequestedKeys.add(key);
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

    /** Returns a list of texts, empty if the key is absent. */
    public List<String> textList(String key) {
        mRequestedKeys.add(key);
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
                    addFinding(key, "contains an element that is not a string: " + element);
                }
            }
        } else {
            addFinding(key, "is not an array of strings: " + value);
        }
        return texts;
    }

    /** Returns a required address of the form {@code host:port}. */
    public HostPort requiredAddress(String key) {
        return parseOrReport(key, requiredText(key), HostPort::parse, new HostPort("127.0.0.1", 0));
    }

    /** Returns a list of addresses of the form {@code host:port}, empty if the key is absent. */
    public List<HostPort> addressList(String key) {
        HostPort placeholder = new HostPort("127.0.0.1", 0);
        return textList(key).stream()
                .map(text -> parseOrReport(key, text, HostPort::parse, placeholder))
                .toList();
    }

    /**
     * Returns a range of ports, given as {@code [first, last]} or {@code "first-last"}; empty if
     * the key is absent or its value is not such a range, which is not reported as an error.
     */
    public Optional<PortRange> portRange(String key) {
        mRequestedKeys.add(key);
        Object value = mTable.get(List.of(key));
        if (value instanceof TomlArray array && array.size() == 2) {
            return PortRange.parse(array.get(0) + "-" + array.get(1));
        }
        return value instanceof String text ? PortRange.parse(text) : Optional.empty();
    }

    /**
     * Returns the enum constant with the given name, ignoring case, or the default if the key is
     * absent.
     */
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

    /** Records an error in the value of a key of this table. */
    public void addFinding(String key, String message) {
        mFindings.add(new Finding(mFile, lineOf(key), mPrefix + key, message));
    }

    /**
     * Ends the validation of a file.
     *
     * @throws InvalidInputException if there are errors; unknown keys are errors
     */
    public void throwIfInvalid() {
        addUnknownKeyFindings();
        throwIfInvalidIgnoringUnknownKeys();
    }

    /**
     * Ends the validation of a file that may contain keys of a later version.
     *
     * @throws InvalidInputException if there are errors; unknown keys are ignored
     */
    public void throwIfInvalidIgnoringUnknownKeys() {
        if (!mFindings.isEmpty()) {
            mFindings.sort((first, second) -> Integer.compare(first.line(), second.line()));
            throw new InvalidInputException(mFindings);
        }
    }

    private void addUnknownKeyFindings() {
        for (String key : mTable.keySet()) {
            if (!mRequestedKeys.contains(key)) {
                addFinding(key, "is not a known key");
            }
        }
        mChildren.forEach(TomlSection::addUnknownKeyFindings);
    }

    private <T> T parseOrReport(
            String key, String text, Function<String, T> parser, T placeholder) {
        if (text.isEmpty()) {
            return placeholder;
        }
        try {
            return parser.apply(text);
        } catch (IllegalArgumentException e) {
            addFinding(key, e.getMessage());
            return placeholder;
        }
    }

    private TomlSection addChild(TomlTable table, String prefix, int line) {
        TomlSection section = new TomlSection(mFile, prefix, table, line, mFindings);
        mChildren.add(section);
        return section;
    }

    private int lineOf(String key) {
        TomlPosition position = mTable.inputPositionOf(List.of(key));
        return position == null ? mDefaultLine : position.line();
    }
}
