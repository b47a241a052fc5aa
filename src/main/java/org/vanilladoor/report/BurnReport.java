package org.vanilladoor.report;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.vanilladoor.configuration.Targets;
import org.vanilladoor.configuration.WorkClass;

/**
 * Burn rates of the error budget of each class of work and team, over several windows.
 *
 * <p>A burn rate of 1 consumes exactly the error budget over the objective's period; a burn rate of
 * 10 consumes it ten times as fast. Immutable and safe for use by any thread.
 *
 * @param lines one line for each class, team and window; the team {@code *} is the sum over all
 *     teams
 */
public record BurnReport(List<Line> lines) {
    /** Lengths of the windows of the report, in minutes. */
    public static final List<Integer> WINDOW_MINUTES = List.of(5, 30, 60, 360);

    private static final String ALL_TEAMS = "*";
    private static final int CHART_WIDTH_PIXELS = 900;
    private static final int CHART_HEIGHT_PIXELS = 360;

    public BurnReport {
        lines = List.copyOf(lines);
    }

    /**
     * Computes the report from counts.
     *
     * @param targets targets with the objective of each class
     * @param rows counts, keyed by the length of the window in minutes; rows of several entries are
     *     added
     */
    public static BurnReport of(Targets targets, Map<Integer, List<LevelRow>> rows) {
        List<Line> lines = new ArrayList<>();
        rows.forEach(
                (minutes, windowRows) -> {
                    Map<String, Map<String, LevelCounts>> countsByClassAndTeam = new TreeMap<>();
                    for (LevelRow row : windowRows) {
                        for (String team : List.of(ALL_TEAMS, row.team())) {
                            countsByClassAndTeam
                                    .computeIfAbsent(row.workClass(), key -> new TreeMap<>())
                                    .merge(team, row.counts(), LevelCounts::plus);
                        }
                    }
                    countsByClassAndTeam.forEach(
                            (workClass, teams) ->
                                    teams.forEach(
                                            (team, counts) ->
                                                    lines.add(
                                                            line(
                                                                    targets, workClass, team,
                                                                    minutes, counts))));
                });
        lines.sort(
                Comparator.comparing(Line::workClass)
                        .thenComparing(Line::team)
                        .thenComparingInt(Line::minutes));
        return new BurnReport(lines);
    }

    /** Formats the report as a plain-text table. */
    public String toText() {
        StringBuilder text = new StringBuilder();
        text.append(
                String.format(
                        "%-16s %-20s %7s %8s %8s %8s %8s %8s%n",
                        "class", "team", "minutes", "met", "missed", "refused", "failed", "burn"));
        for (Line line : lines) {
            LevelCounts counts = line.counts();
            text.append(
                    String.format(
                            Locale.ROOT,
                            "%-16s %-20s %7d %8d %8d %8d %8d %8.2f%n",
                            line.workClass(),
                            line.team(),
                            line.minutes(),
                            counts.met(),
                            counts.missed(),
                            counts.refused(),
                            counts.failed(),
                            line.burn()));
        }
        return text.toString();
    }

    /** Formats the report as an HTML page with a chart of the burn rate of each class. */
    public String toHtml() {
        StringBuilder page = new StringBuilder("<!DOCTYPE html><html lang=\"en\"><head>");
        page.append("<meta charset=\"utf-8\"><title>Error-budget burn</title></head><body>");
        page.append("<h1>Error-budget burn</h1>");
        page.append("<img alt=\"burn by class and window\" src=\"data:image/png;base64,");
        page.append(Base64.getEncoder().encodeToString(renderChart())).append("\">");
        page.append("<pre>").append(escapeHtml(toText())).append("</pre></body></html>\n");
        return page.toString();
    }

    private byte[] renderChart() {
        CategoryChart chart =
                new CategoryChartBuilder()
                        .width(CHART_WIDTH_PIXELS)
                        .height(CHART_HEIGHT_PIXELS)
                        .title("Burn by class")
                        .xAxisTitle("window in minutes")
                        .yAxisTitle("burn")
                        .build();
        Map<String, Map<Integer, Double>> burnRatesByClass = new TreeMap<>();
        lines.stream()
                .filter(line -> line.team().equals(ALL_TEAMS))
                .forEach(
                        line ->
                                burnRatesByClass
                                        .computeIfAbsent(line.workClass(), key -> new TreeMap<>())
                                        .put(line.minutes(), line.burn()));
        burnRatesByClass.forEach(
                (workClass, burnRates) ->
                        chart.addSeries(
                                workClass,
                                WINDOW_MINUTES,
                                WINDOW_MINUTES.stream()
                                        .map(minutes -> burnRates.getOrDefault(minutes, 0.0))
                                        .toList()));
        try (ByteArrayOutputStream image = new ByteArrayOutputStream()) {
            BitmapEncoder.saveBitmap(chart, image, BitmapEncoder.BitmapFormat.PNG);
            return image.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static Line line(
            Targets targets, String workClass, String team, int minutes, LevelCounts counts) {
        double objective = targets.workClass(workClass).map(WorkClass::objective).orElse(0.0);
        return new Line(workClass, team, minutes, counts, counts.burnRate(objective));
    }

    private static String escapeHtml(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }

    /**
     * Counts and burn rate of one class and team in one window.
     *
     * <p>Immutable and safe for use by any thread.
     */
    public record Line(
            String workClass, String team, int minutes, LevelCounts counts, double burn) {}
}
