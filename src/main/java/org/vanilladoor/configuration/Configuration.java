package org.vanilladoor.configuration;

import com.fasterxml.jackson.core.type.TypeReference;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.vanilladoor.common.Digests;
import org.vanilladoor.common.Json;
import org.vanilladoor.key.KeyRecord;
import org.vanilladoor.key.KeyRing;

/**
 * One accepted configuration: the operators' targets and the teams' keys.
 *
 * <p>It is stored as parts, so that a change transfers only the parts that differ: one part for
 * classes, models, services and limits, and shards of teams and of keys. Invariant: the digests of
 * the parts are those listed in the head. Immutable and safe for use by any thread.
 */
public final class Configuration {
    private static final String CLASSES_PART = "classes";
    private static final String TEAMS_PREFIX = "teams-";
    private static final String KEYS_PREFIX = "keys-";
    private static final int SHARD_COUNT = 64;
    private static final int MAXIMUM_NONCES = 32;
    private final ConfigurationHead mHead;
    private final Map<String, byte[]> mContents;
    private final Targets mTargets;
    private final KeyRing mKeys;

    private Configuration(
            ConfigurationHead head, Map<String, byte[]> contents, Targets targets, KeyRing keys) {
        mHead = head;
        mContents = contents;
        mTargets = targets;
        mKeys = keys;
    }

    /** Returns the empty configuration, version 0, which applies until one has been accepted. */
    public static Configuration none() {
        return new Configuration(
                new ConfigurationHead(0, List.of(), Map.of()),
                Map.of(),
                Targets.empty(),
                KeyRing.of(List.of()));
    }

    /**
     * Returns a configuration with the given content.
     *
     * @param version version of the configuration
     * @param nonces nonces of this and earlier acceptances, the latest first
     * @param targets the operators' targets
     * @param keys the teams' keys
     */
    public static Configuration of(
            long version, List<String> nonces, Targets targets, List<KeyRecord> keys) {
        Map<String, byte[]> contents = new TreeMap<>();
        contents.put(
                CLASSES_PART,
                Json.write(
                        new ClassesPart(
                                targets.classes(),
                                targets.models(),
                                targets.services(),
                                targets.limits())));
        putShards(contents, TEAMS_PREFIX, targets.teams(), Team::name);
        putShards(contents, KEYS_PREFIX, keys, KeyRecord::identifier);
        Map<String, String> digests = new HashMap<>();
        contents.forEach((name, content) -> digests.put(name, Digests.sha256(content)));
        return new Configuration(
                new ConfigurationHead(version, nonces, digests),
                contents,
                targets,
                KeyRing.of(keys));
    }

    /**
     * Assembles the configuration that a head describes and verifies each part.
     *
     * @param head head that lists the parts
     * @param partByDigest returns the content of the part with a digest, or null if there is none
     * @throws IllegalArgumentException if a part is missing or its content does not match its
     *     digest
     * @throws java.io.UncheckedIOException if a part is not valid JSON
     */
    public static Configuration assemble(
            ConfigurationHead head, Function<String, byte[]> partByDigest) {
        Map<String, byte[]> contents = new TreeMap<>();
        head.parts()
                .forEach(
                        (name, digest) ->
                                contents.put(name, verifiedPart(name, digest, partByDigest)));
        ClassesPart classes =
                contents.containsKey(CLASSES_PART)
                        ? Json.read(contents.get(CLASSES_PART), ClassesPart.class)
                        : new ClassesPart(
                                List.of(), List.of(), List.of(), Targets.Limits.standard());
        List<Team> teams = new ArrayList<>();
        List<KeyRecord> keys = new ArrayList<>();
        contents.forEach(
                (name, content) -> {
                    if (name.startsWith(TEAMS_PREFIX)) {
                        teams.addAll(Json.read(content, new TypeReference<List<Team>>() {}));
                    } else if (name.startsWith(KEYS_PREFIX)) {
                        keys.addAll(Json.read(content, new TypeReference<List<KeyRecord>>() {}));
                    }
                });
        Targets targets =
                Targets.of(
                        classes.classes(),
                        teams,
                        classes.models(),
                        classes.services(),
                        classes.limits());
        return new Configuration(head, contents, targets, KeyRing.of(keys));
    }

    /** Returns the head. */
    public ConfigurationHead head() {
        return mHead;
    }

    /** Returns the version. */
    public long version() {
        return mHead.version();
    }

    /** Returns the operators' targets. */
    public Targets targets() {
        return mTargets;
    }

    /** Returns the keys. */
    public KeyRing keys() {
        return mKeys;
    }

    /** Returns the content of each part, keyed by its digest. */
    public Map<String, byte[]> partsByDigest() {
        return mContents.entrySet().stream()
                .collect(
                        Collectors.toMap(
                                entry -> mHead.parts().get(entry.getKey()), Map.Entry::getValue));
    }

    /** Returns the next version of this configuration, with the targets replaced. */
    public Configuration withTargets(Targets targets, String nonce) {
        return of(version() + 1, nonces(nonce), targets, mKeys.records());
    }

    /** Returns the next version of this configuration, with the key added or replaced. */
    public Configuration withKey(KeyRecord key, String nonce) {
        List<KeyRecord> keys =
                new ArrayList<>(
                        mKeys.records().stream()
                                .filter(each -> !each.identifier().equals(key.identifier()))
                                .toList());
        keys.add(key);
        return of(version() + 1, nonces(nonce), mTargets, keys);
    }

    private List<String> nonces(String newest) {
        return Stream.concat(Stream.of(newest), mHead.nonces().stream())
                .limit(MAXIMUM_NONCES)
                .toList();
    }

    private static byte[] verifiedPart(
            String name, String digest, Function<String, byte[]> partByDigest) {
        byte[] content = partByDigest.apply(digest);
        if (content == null || !Digests.sha256(content).equals(digest)) {
            throw new IllegalArgumentException(
                    "content of part does not match the digest in the head: " + name);
        }
        return content;
    }

    private static <T> void putShards(
            Map<String, byte[]> contents,
            String prefix,
            List<T> items,
            Function<T, String> identifier) {
        Map<Integer, List<T>> shards =
                items.stream()
                        .sorted(Comparator.comparing(identifier))
                        .collect(
                                Collectors.groupingBy(
                                        item ->
                                                Math.floorMod(
                                                        Digests.placementHash(
                                                                identifier.apply(item)),
                                                        SHARD_COUNT)));
        shards.forEach((shard, members) -> contents.put(prefix + shard, Json.write(members)));
    }

    /** The part that holds everything except teams and keys. */
    private record ClassesPart(
            List<WorkClass> classes,
            List<Model> models,
            List<Service> services,
            Targets.Limits limits) {}
}
