package vetchpost.simulation.scale;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import vetchpost.simulation.scale.GrowthMeasurements.Series;

/**
 * The command {@code scale slopes}: all figures of docs/CAPACITY.md that are measured, as a table and as
 * JSON.
 */
@Command(
        name = "slopes",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description = {
            "Measures each role's state, messages, processor time and memory by what it grows " + "with, at five",
            "sizes over two decades, with a straight line through them. Some minutes; give it 6 GB of heap."
        },
        exitCodeListHeading = "Exit codes:%n",
        exitCodeList = {"0:measured", "2:bad arguments"})
final class SlopesCommand implements Callable<Integer> {
    private static final int PANEL_WIDTH_PX = 360;
    private static final int PANEL_HEIGHT_PX = 200;

    @Spec
    private CommandSpec spec;

    @Option(
            names = "--part",
            paramLabel = "N",
            defaultValue = "1",
            description = "The largest size is an N-th of the coming one (${DEFAULT-VALUE}).")
    private int sizeDivisor;

    @Option(names = "--json", paramLabel = "FILE", description = "Keeps the points and the lines there.")
    private Path json;

    @Option(names = "--svg", paramLabel = "FILE", description = "Keeps a picture of each figure there.")
    private Path svg;

    @Override
    public Integer call() throws IOException {
        if (sizeDivisor < 1 || sizeDivisor > 100) {
            throw new ParameterException(spec.commandLine(), "--part is from 1 to 100");
        }
        PrintWriter out = spec.commandLine().getOut();
        PrintWriter err = spec.commandLine().getErr();
        boolean watched = System.console() != null;
        List<Series> rows = new GrowthMeasurements(sizeDivisor, what -> {
                    if (watched) {
                        err.print("\r" + what + "                    ");
                        err.flush();
                    }
                })
                .measureAll();
        printTable(out, rows);
        if (json != null) {
            Files.writeString(json, json(rows));
        }
        if (svg != null) {
            Files.writeString(svg, svg(rows));
        }
        return 0;
    }

    private static String number(double value) {
        return Math.abs(value) >= 1_000
                ? String.format(Locale.ROOT, "%,.0f", value)
                : String.format(Locale.ROOT, "%.3g", value);
    }

    private static void printTable(PrintWriter out, List<Series> rows) {
        for (Series row : rows) {
            LinearFit fit = row.fit();
            out.printf(Locale.ROOT, "%s: %s (%s)%n", row.role(), row.figure(), row.unit());
            StringBuilder points = new StringBuilder();
            double[] residuals = fit.residuals(row.x(), row.y());
            for (int i = 0; i < row.x().length; i++) {
                points.append(String.format(
                        Locale.ROOT, "  %s: %s (%+.0f%%)", number(row.x()[i]), number(row.y()[i]), 100 * residuals[i]));
            }
            out.println("   by " + row.variable() + points);
            out.printf(
                    Locale.ROOT,
                    "   %s + %s each; %s, off by %.0f%% at most; at %s: %s%n",
                    number(fit.intercept()),
                    number(fit.slope()),
                    fit.shape(),
                    100 * fit.maxRelativeError(),
                    number(row.targetSize()),
                    number(fit.predict(row.targetSize())));
        }
        out.flush();
    }

    private static String jsonArray(double[] values) {
        List<String> texts = new ArrayList<>();
        for (double value : values) {
            texts.add(String.format(Locale.ROOT, "%.6g", value));
        }
        return "[" + String.join(", ", texts) + "]";
    }

    private static String json(List<Series> rows) {
        List<String> lines = new ArrayList<>();
        for (Series row : rows) {
            LinearFit fit = row.fit();
            lines.add(String.format(
                    Locale.ROOT,
                    "  {\"role\": \"%s\", \"what\": \"%s\", \"unit\": \"%s\", "
                            + "\"by\": \"%s\", "
                            + "\"x\": %s, \"y\": %s, \"intercept\": %.6g, \"slope\": %.6g, \"worst\": %.4f, "
                            + "\"power\": %.3f, "
                            + "\"coming\": %.0f, \"foretold\": %.6g}",
                    row.role(),
                    row.figure(),
                    row.unit(),
                    row.variable(),
                    jsonArray(row.x()),
                    jsonArray(row.y()),
                    fit.intercept(),
                    fit.slope(),
                    fit.maxRelativeError(),
                    fit.power(),
                    row.targetSize(),
                    fit.predict(row.targetSize())));
        }
        return "[\n" + String.join(",\n", lines) + "\n]\n";
    }

    private static String svg(List<Series> rows) {
        int columns = 3;
        int lines = (rows.size() + columns - 1) / columns;
        StringBuilder text = new StringBuilder(String.format(
                Locale.ROOT,
                "<svg xmlns=\"http://www.w3.org/2000/svg\" "
                        + "viewBox=\"0 0 %d %d\" font-family=\"sans-serif\" font-size=\"10\">%n<title>What grows "
                        + "with what</title>%n"
                        + "<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>%n",
                columns * PANEL_WIDTH_PX,
                lines * PANEL_HEIGHT_PX));
        for (int i = 0; i < rows.size(); i++) {
            panel(text, rows.get(i), i % columns * PANEL_WIDTH_PX, i / columns * PANEL_HEIGHT_PX);
        }
        return text.append("</svg>\n").toString();
    }

    private static void panel(StringBuilder text, Series row, int left, int top) {
        double mostX = row.x()[row.x().length - 1];
        double mostY = 1e-9;
        for (double y : row.y()) {
            mostY = Math.max(mostY, y);
        }
        LinearFit fit = row.fit();
        text.append(String.format(
                Locale.ROOT,
                "<text x=\"%d\" y=\"%d\">%s: %s</text>%n<text x=\"%d\" "
                        + "y=\"%d\">up to %s %s "
                        + "by %s %s, %s</text>%n",
                left + 10,
                top + 15,
                row.role(),
                row.figure(),
                left + 10,
                top + PANEL_HEIGHT_PX - 8,
                number(mostY),
                row.unit(),
                number(mostX),
                row.variable(),
                fit.shape()));
        double x0 = left + 10;
        double y0 = top + PANEL_HEIGHT_PX - 25;
        double width = PANEL_WIDTH_PX - 30;
        double height = PANEL_HEIGHT_PX - 55;
        text.append(String.format(
                Locale.ROOT,
                "<line x1=\"%.0f\" y1=\"%.1f\" x2=\"%.0f\" y2=\"%.1f\" " + "stroke=\"#999\"/>%n",
                x0,
                y0 - height * Math.max(0, fit.predict(0)) / mostY,
                x0 + width,
                y0 - height * Math.min(1.1, fit.predict(mostX) / mostY)));
        for (int i = 0; i < row.x().length; i++) {
            text.append(String.format(
                    Locale.ROOT,
                    "<circle cx=\"%.1f\" cy=\"%.1f\" r=\"3\" " + "fill=\"#1f6fb4\"/>%n",
                    x0 + width * row.x()[i] / mostX,
                    y0 - height * row.y()[i] / mostY));
        }
    }
}
