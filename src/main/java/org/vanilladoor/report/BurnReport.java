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
 * How fast each class and team burns its error budget, over several windows.
 *
 * <p>A burn of 1 uses the budget up exactly; a burn of 10 uses it up ten times as fast. Immutable
 * and safe for use by any thread.
 *
 * @param lines a line for each class, team and window; the team {@code *} stands for all
 */
public record BurnReport(List<Line> lines) {
    /** Windows of the report in minutes. */
    public static final List<Integer> WINDOW_MINUTES = List.of(5, 30, 60, 360);

    private static final String ALL_TEAMS = "*";
    private static final int PLOT_WIDTH = 900;
    private static final int PLOT_HEIGHT = 360;

    public BurnReport {
        lines = List.copyOf(lines);
    }

    /**
     * Returns the report of counts.
     *
     * @param targets targets with the objectives
     * @param rows counts by the window's length in minutes; rows of several entries are added up
     */
    public static BurnReport of(Targets targets, Map<Integer, List<LevelRow>> rows) {
        List<Line> lines = new ArrayList<>();
        rows.forEach(
                (minutes, windowRows) -> {
                    Map<String, Map<String, LevelCounts>> sums = new TreeMap<>();
                    for (LevelRow row : windowRows) {
                        for (String team : List.of(ALL_TEAMS, row.team())) {
                            sums.computeIfAbsent(row.workClass(), key -> new TreeMap<>())
                                    .merge(team, row.counts(), LevelCounts::plus);
                        }
                    }
                    sums.forEach(
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

    /** Returns the report as a table. */
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

    /** Returns the report as a page with a plot of each class's burn. */
    public String toHtml() {
        StringBuilder page = new StringBuilder("<!DOCTYPE html><html lang=\"en\"><head>");
        page.append("<meta charset=\"utf-8\"><title>Error-budget burn</title></head><body>");
        page.append("<h1>Error-budget burn</h1>");
        page.append("<img alt=\"burn by class and window\" src=\"data:image/png;base64,");
        page.append(Base64.getEncoder().encodeToString(plot())).append("\">");
        page.append("<pre>").append(escape(toText())).append("</pre></body></html>\n");
        return page.toString();
    }

    private byte[] plot() {
        CategoryChart chart =
                new CategoryChartBuilder()
                        .width(PLOT_WIDTH)
                        .height(PLOT_HEIGHT)
                        .title("Burn by class")
                        .xAxisTitle("window in minutes")
                        .yAxisTitle("burn")
                        .build();
        Map<String, Map<Integer, Double>> byClass = new TreeMap<>();
        lines.stream()
                .filter(line -> line.team().equals(ALL_TEAMS))
                .forEach(
                        line ->
                                byClass.computeIfAbsent(line.workClass(), key -> new TreeMap<>())
                                        .put(line.minutes(), line.burn()));
        byClass.forEach(
                (workClass, burns) ->
                        chart.addSeries(
                                workClass,
                                WINDOW_MINUTES,
                                WINDOW_MINUTES.stream()
                                        .map(minutes -> burns.getOrDefault(minutes, 0.0))
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
        return new Line(workClass, team, minutes, counts, counts.burn(objective));
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }

    /**
     * One line of the report.
     *
     * <p>Immutable and safe for use by any thread.
     */
    public record Line(
            String workClass, String team, int minutes, LevelCounts counts, double burn) {}
}
