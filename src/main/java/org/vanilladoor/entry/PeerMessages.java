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
 * Converts between the types of this project and the generated Thrift messages between entries.
 *
 * <p>Stateless and safe for use by any thread.
 */
final class PeerMessages {
    private PeerMessages() {}

    /**
     * Returns a gossip message.
     *
     * @param records records to send; the first one is the sender's own
     * @param informedAgeMillis time since the sender was last informed, see {@link
     *     PeerGossip#informedAgeMillis}
     */
    static Exchange toExchange(
            String credential,
            List<MemberRecord> records,
            long configurationVersion,
            List<LoadDigest> loads,
            int informedAgeMillis) {
        List<Member> members = new ArrayList<>();
        records.subList(1, records.size()).forEach(record -> members.add(toMember(record)));
        return new Exchange(
                credential,
                toMember(records.get(0)),
                members,
                configurationVersion,
                loads,
                informedAgeMillis);
    }

    static MemberRecord toMemberRecord(Member member) {
        return new MemberRecord(
                member.getName(),
                member.getIncarnation(),
                member.getFailureDomain(),
                HostPort.parse(member.getPeerAddress()),
                member.getHeartbeat(),
                member.isLeaving());
    }

    static List<MemberRecord> toMemberRecords(Exchange exchange) {
        return exchange.getMembers().stream().map(PeerMessages::toMemberRecord).toList();
    }

    static LoadDigest toLoadDigest(String endpoint, int ageMillis, LoadReport report) {
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

    static LoadReport toLoadReport(LoadDigest digest) {
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

    /** Returns counts as a message that contains the incarnation of each process only once. */
    static CounterBatch toCounterBatch(String credential, Map<UsageCountKey, TeamCounts> counts) {
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
     * Merges the counts of a message into the counters.
     *
     * @throws IllegalArgumentException if a count refers to an incarnation that is not in the
     *     message
     */
    static void mergeCounters(CounterBatch batch, UsageCounters counters) {
        for (Counter counter : batch.getCounters()) {
            int incarnationIndex = counter.getIncarnationIndex();
            if (incarnationIndex < 0 || incarnationIndex >= batch.getIncarnationsSize()) {
                throw new IllegalArgumentException(
                        "incarnationIndex is outside the list of incarnations: "
                                + incarnationIndex);
            }
            counters.merge(
                    new UsageCountKey(
                            batch.getIncarnations().get(incarnationIndex),
                            counter.getWindow(),
                            counter.getTeam()),
                    new TeamCounts(
                            counter.getRequests(),
                            counter.getPromptTokens(),
                            counter.getOutputTokens()));
        }
    }

    private static Member toMember(MemberRecord record) {
        return new Member(
                record.name(),
                record.incarnation(),
                record.failureDomain(),
                record.peerAddress().toString(),
                record.heartbeat(),
                record.leaving());
    }
}
