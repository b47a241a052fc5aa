package org.vanilladoor.replay;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.markers.SeriesMarkers;

/**
 * An HTML page with charts and tables that compare replays of one trace.
 *
 * <p>Stateless and safe for use by any thread.
 */
public final class ReplayPage {
    private static final int CHART_WIDTH_PIXELS = 900;
    private static final int CHART_HEIGHT_PIXELS = 300;
    private static final double MILLIS_PER_SECOND = 1_000.0;

    private ReplayPage() {}

    /**
     * Returns the page.
     *
     * @param title name of the trace or scenario
     * @param tallies results of the replays by the name of the policy set
     */
    public static String html(String title, Map<String, ReplayTally> tallies) {
        StringBuilder page = new StringBuilder("<!DOCTYPE html><html lang=\"en\"><head>");
        page.append("<meta charset=\"utf-8\"><title>Replay of ").append(title);
        page.append("</title></head><body><h1>Replay of ").append(title).append("</h1>");
        appendChart(
                page, tallies, "calls per second within target", ReplayTally.Sample::metPerSecond);
        appendChart(page, tallies, "calls in wait queues", ReplayTally.Sample::queuedCalls);
        appendChart(
                page,
                tallies,
                "engines in the prefill role",
                ReplayTally.Sample::prefillEngineCount);
        appendChart(page, tallies, "spend", ReplayTally.Sample::spend);
        tallies.forEach(
                (name, tally) ->
                        page.append("<h2>")
                                .append(name)
                                .append("</h2><pre>")
                                .append(tally.toText())
                                .append("</pre>"));
        return page.append("</body></html>\n").toString();
    }

    /** Appends a chart as an embedded PNG image, with a series for each policy set. */
    private static void appendChart(
            StringBuilder page,
            Map<String, ReplayTally> tallies,
            String quantity,
            ToDoubleFunction<ReplayTally.Sample> value) {
        XYChart chart =
                new XYChartBuilder()
                        .width(CHART_WIDTH_PIXELS)
                        .height(CHART_HEIGHT_PIXELS)
                        .title(quantity)
                        .xAxisTitle("seconds")
                        .yAxisTitle(quantity)
                        .build();
        tallies.forEach(
                (name, tally) -> {
                    List<ReplayTally.Sample> samples = tally.samples();
                    double[] x =
                            samples.stream()
                                    .mapToDouble(sample -> sample.atMillis() / MILLIS_PER_SECOND)
                                    .toArray();
                    double[] y = samples.stream().mapToDouble(value).toArray();
                    chart.addSeries(name, x, y).setMarker(SeriesMarkers.NONE);
                });
        try (ByteArrayOutputStream image = new ByteArrayOutputStream()) {
            BitmapEncoder.saveBitmap(chart, image, BitmapEncoder.BitmapFormat.PNG);
            page.append("<img alt=\"").append(quantity).append("\" src=\"data:image/png;base64,");
            page.append(Base64.getEncoder().encodeToString(image.toByteArray())).append("\"><br>");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
