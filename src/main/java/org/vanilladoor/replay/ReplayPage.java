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
 * A page that plots replays of one trace over time.
 *
 * <p>Stateless and safe for use by any thread.
 */
public final class ReplayPage {
    private static final int WIDTH = 900;
    private static final int HEIGHT = 300;
    private static final double MILLIS_PER_SECOND = 1_000.0;

    private ReplayPage() {}

    /**
     * Returns the page.
     *
     * @param title what was replayed
     * @param tallies what came of each set of policies
     */
    public static String html(String title, Map<String, ReplayTally> tallies) {
        StringBuilder page = new StringBuilder("<!DOCTYPE html><html lang=\"en\"><head>");
        page.append("<meta charset=\"utf-8\"><title>Replay of ").append(title);
        page.append("</title></head><body><h1>Replay of ").append(title).append("</h1>");
        image(page, tallies, "calls a second within target", ReplayTally.Sample::metPerSecond);
        image(page, tallies, "waiting calls", ReplayTally.Sample::waiting);
        image(page, tallies, "engines in the prefill role", ReplayTally.Sample::prefillEngines);
        image(page, tallies, "spend", ReplayTally.Sample::spend);
        tallies.forEach(
                (name, tally) ->
                        page.append("<h2>")
                                .append(name)
                                .append("</h2><pre>")
                                .append(tally.toText())
                                .append("</pre>"));
        return page.append("</body></html>\n").toString();
    }

    private static void image(
            StringBuilder page,
            Map<String, ReplayTally> tallies,
            String what,
            ToDoubleFunction<ReplayTally.Sample> value) {
        XYChart chart =
                new XYChartBuilder()
                        .width(WIDTH)
                        .height(HEIGHT)
                        .title(what)
                        .xAxisTitle("seconds")
                        .yAxisTitle(what)
                        .build();
        tallies.forEach(
                (name, tally) -> {
                    List<ReplayTally.Sample> samples = tally.samples();
                    double[] x =
                            samples.stream()
                                    .mapToDouble(each -> each.atMillis() / MILLIS_PER_SECOND)
                                    .toArray();
                    double[] y = samples.stream().mapToDouble(value).toArray();
                    chart.addSeries(name, x, y).setMarker(SeriesMarkers.NONE);
                });
        try (ByteArrayOutputStream image = new ByteArrayOutputStream()) {
            BitmapEncoder.saveBitmap(chart, image, BitmapEncoder.BitmapFormat.PNG);
            page.append("<img alt=\"").append(what).append("\" src=\"data:image/png;base64,");
            page.append(Base64.getEncoder().encodeToString(image.toByteArray())).append("\"><br>");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
