package org.vanilladoor.leader;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.vanilladoor.common.Json;
import org.vanilladoor.gateway.ServiceLoadSink.Counter;
import org.vanilladoor.gateway.ServiceLoadSink.Gauge;

/** Tests of the measured load, and of its form in the reports of older and newer processes. */
class ServiceLoadTests {
    private static final String SERVICE = "model";
    private final ServiceLoadMeter mMeter = ServiceLoadMeter.create();

    @Test
    void requestsWithoutAFirstEventDoNotCountAsGenerating() {
        mMeter.change(SERVICE, Gauge.RUNNING, 10, 0);
        mMeter.change(SERVICE, Gauge.AWAITING_FIRST_EVENT, 10, 0);
        mMeter.change(SERVICE, Gauge.AWAITING_FIRST_EVENT, -4, 500);
        ServiceLoad load = mMeter.takeLoads(1_000).get(SERVICE);
        assertThat(load.running()).isEqualTo(10);
        assertThat(load.generating()).isEqualTo(2);
    }

    @Test
    void eventsAreCountedPerSecondSinceTheLastMeasurement() {
        mMeter.change(SERVICE, Gauge.PREFILLS, 1, 0);
        mMeter.takeLoads(1_000);
        mMeter.count(SERVICE, Counter.ARRIVED_PROMPTS, 30, 1_500);
        mMeter.count(SERVICE, Counter.PREFILLED_PROMPTS, 20, 1_500);
        mMeter.count(SERVICE, Counter.MISSED_PROMPTS, 10, 1_500);
        assertThat(mMeter.takeLoads(3_000).get(SERVICE).prompts())
                .isEqualTo(new ServiceLoad.PromptFlow(0, 15, 10, 5));
        assertThat(mMeter.takeLoads(4_000).get(SERVICE).prompts())
                .isEqualTo(ServiceLoad.PromptFlow.NONE);
    }

    /** A rise counts in full; that of the requests that wait may not come later than the others. */
    @Test
    void aSuddenRiseOfRequestsThatWaitForTheirCacheDoesNotCountAsGenerating() {
        ServiceLoad before = load(20, 0);
        ServiceLoad risen = before.smoothedWith(load(90, 70));
        assertThat(risen.running()).isEqualTo(90);
        assertThat(risen.generating()).isEqualTo(20);
        assertThat(risen.smoothedWith(load(10, 0)).generating()).isEqualTo(15);
    }

    private static ServiceLoad load(double running, double awaiting) {
        return new ServiceLoad(
                0,
                running,
                ServiceLoad.PromptFlow.NONE,
                new ServiceLoad.GenerationLoad(awaiting, 0, 0));
    }

    @Test
    void aReportOfAnOlderProcessCountsAllRunningRequestsAsGenerating() {
        String older =
                """
                {"machine":"one","incarnation":"1","wallMillis":5,"usage":{},
                 "work":{"model":{"reading":2.5,"running":7.0}}}""";
        MemberReport report = Json.read(older.getBytes(UTF_8), MemberReport.class);
        assertThat(report.work()).containsExactly(SERVICE, new ServiceLoad(2.5, 7));
        assertThat(report.work().get(SERVICE).generating()).isEqualTo(7);
    }

    @Test
    void anOlderProcessReadsTheFiguresThatItKnows() {
        ServiceLoad load =
                new ServiceLoad(
                        2.5,
                        7,
                        new ServiceLoad.PromptFlow(1, 30, 20, 0.5),
                        new ServiceLoad.GenerationLoad(3, 500, 60));
        MemberReport report = new MemberReport("one", "1", 5, Map.of(), Map.of(SERVICE, load));
        byte[] json = Json.write(report);
        assertThat(Json.read(json, OlderReport.class).work())
                .containsExactly(SERVICE, new OlderLoad(2.5, 7));
        assertThat(Json.read(json, MemberReport.class)).isEqualTo(report);
    }

    /** The load that a process of an earlier version reads. */
    private record OlderLoad(double reading, double running) {}

    /** The part of a report with the load, as a process of an earlier version reads it. */
    private record OlderReport(String machine, Map<String, OlderLoad> work) {}
}
