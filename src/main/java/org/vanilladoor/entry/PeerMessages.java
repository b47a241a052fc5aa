package org.vanilladoor.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.endpoint.LoadReport;
import org.vanilladoor.engine.EngineRole;
import org.vanilladoor.generated.Counter;
import org.vanilladoor.generated.CounterBatch;
import org.vanilladoor.generated.Exchange;
import org.vanilladoor.generated.LoadDigest;
import org.vanilladoor.generated.Member;
import org.vanilladoor.membership.MemberRecord;
import org.vanilladoor.usage.TeamCounts;
import org.vanilladoor.usage.UsageCountKey;
import org.vanilladoor.usage.UsageCounters;

/**
 * Turns the system's types into messages between entries and back.
 *
 * <p>Stateless and safe for use by any thread.
 */
final class PeerMessages {
    private PeerMessages() {}

    static Exchange exchange(
            String credential,
            List<MemberRecord> rumours,
            long configurationVersion,
            List<LoadDigest> loads,
            int informedAgeMillis) {
        List<Member> members = new ArrayList<>();
        rumours.subList(1, rumours.size()).forEach(record -> members.add(message(record)));
        return new Exchange(
                credential,
                message(rumours.get(0)),
                members,
                configurationVersion,
                loads,
                informedAgeMillis);
    }

    static MemberRecord member(Member member) {
        return new MemberRecord(
                member.getName(),
                member.getIncarnation(),
                member.getFailureDomain(),
                HostPort.parse(member.getPeerAddress()),
                member.getHeartbeat(),
                member.isLeaving());
    }

    static List<MemberRecord> members(Exchange exchange) {
        return exchange.getMembers().stream().map(PeerMessages::member).toList();
    }

    static LoadDigest digest(String endpoint, int ageMillis, LoadReport report) {
        return new LoadDigest(
                endpoint,
                ageMillis,
                report.role().ordinal(),
                report.changing(),
                report.requests(),
                report.waitingPromptTokens(),
                report.maximumStreams(),
                report.appliedOrder(),
                report.leaving());
    }

    static LoadReport report(LoadDigest digest) {
        int role = Math.floorMod(digest.getRole(), EngineRole.values().length);
        return new LoadReport(
                EngineRole.values()[role],
                digest.isChanging(),
                digest.getRequests(),
                digest.getWaitingPromptTokens(),
                digest.getMaximumStreams(),
                digest.getAppliedOrder(),
                digest.isLeaving());
    }

    /** Returns counts as a message that names each process once. */
    static CounterBatch batch(String credential, Map<UsageCountKey, TeamCounts> counts) {
        List<String> incarnations =
                counts.keySet().stream().map(UsageCountKey::incarnation).distinct().toList();
        List<Counter> counters = new ArrayList<>();
        counts.forEach(
                (key, count) ->
                        counters.add(
                                new Counter(
                                        incarnations.indexOf(key.incarnation()),
                                        key.window(),
                                        key.team(),
                                        count.requests(),
                                        count.promptTokens(),
                                        count.outputTokens())));
        return new CounterBatch(credential, incarnations, counters);
    }

    /**
     * Takes the counts of a message in.
     *
     * @throws IllegalArgumentException if a count names no process of the message
     */
    static void merge(CounterBatch batch, UsageCounters counters) {
        for (Counter counter : batch.getCounters()) {
            int index = counter.getIncarnationIndex();
            if (index < 0 || index >= batch.getIncarnationsSize()) {
                throw new IllegalArgumentException("incarnationIndex is not in the list: " + index);
            }
            counters.merge(
                    new UsageCountKey(
                            batch.getIncarnations().get(index),
                            counter.getWindow(),
                            counter.getTeam()),
                    new TeamCounts(
                            counter.getRequests(),
                            counter.getPromptTokens(),
                            counter.getOutputTokens()));
        }
    }

    private static Member message(MemberRecord record) {
        return new Member(
                record.name(),
                record.incarnation(),
                record.failureDomain(),
                record.peerAddress().toString(),
                record.heartbeat(),
                record.leaving());
    }
}
