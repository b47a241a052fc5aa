package org.vanilladoor.measure;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import org.apache.thrift.TBase;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.vanilladoor.generated.Counter;
import org.vanilladoor.generated.CounterBatch;
import org.vanilladoor.generated.Exchange;
import org.vanilladoor.generated.LoadDigest;
import org.vanilladoor.generated.Member;

/**
 * Measures how the serialized size of the messages between entries grows with their content.
 *
 * <p>Stateless.
 */
public final class MessageSizeBenchmark {
    private static final String CREDENTIAL = "a-credential-of-usual-length-32b";
    private static final String INCARNATION = "18c1f2a3b4c-0123456789abcdef01234567";

    private MessageSizeBenchmark() {}

    /**
     * Prints a row for each number of members and endpoint loads in an exchange and of counters in
     * a batch.
     */
    public static void run(PrintStream output) {
        output.println("exchange bytes by members and loads");
        for (int members : new int[] {1, 4, 13, 17}) {
            for (int loads : new int[] {0, 10, 100, 210}) {
                output.printf(
                        "members %3d loads %4d bytes %6d%n",
                        members, loads, serializedBytes(exchange(members, loads)));
            }
        }
        output.println("counter batch bytes by counters");
        for (int counters : new int[] {1, 10, 28, 100}) {
            output.printf(
                    "counters %4d bytes %6d%n", counters, serializedBytes(counterBatch(counters)));
        }
    }

    private static Exchange exchange(int memberCount, int loadCount) {
        List<Member> others = new ArrayList<>();
        for (int i = 1; i < memberCount; i++) {
            others.add(member(i));
        }
        List<LoadDigest> digests = new ArrayList<>();
        for (int i = 0; i < loadCount; i++) {
            digests.add(new LoadDigest("engine-" + i, 800, 1, false, 20, 12_000, 32, "", false));
        }
        return new Exchange(CREDENTIAL, member(0), others, 123_456, digests, 1_000);
    }

    private static Member member(int index) {
        return new Member(
                "entry-" + index,
                INCARNATION,
                "failure-domain-1",
                "10.20.30." + index + ":8201",
                100_000,
                false);
    }

    private static CounterBatch counterBatch(int counterCount) {
        List<Counter> counters = new ArrayList<>();
        for (int i = 0; i < counterCount; i++) {
            counters.add(new Counter(0, 178_000_000, "team-" + i, 300, 500_000, 80_000));
        }
        return new CounterBatch(CREDENTIAL, List.of(INCARNATION), counters);
    }

    private static int serializedBytes(TBase<?, ?> message) {
        try {
            return new TSerializer(new TCompactProtocol.Factory()).serialize(message).length;
        } catch (TException e) {
            throw new IllegalStateException("message can't be serialized", e);
        }
    }
}
