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
import vetchpost.simulation.scale.Slopes.Row;

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
    private static final int WIDTH = 360;
    private static final int HEIGHT = 200;

    @Spec
    private CommandSpec spec;

    @Option(
            names = "--part",
            paramLabel = "N",
            defaultValue = "1",
            description = "The largest size is an N-th of the coming one (${DEFAULT-VALUE}).")
    private int part;

    @Option(names = "--json", paramLabel = "FILE", description = "Keeps the points and the lines there.")
    private Path json;

    @Option(names = "--svg", paramLabel = "FILE", description = "Keeps a picture of each figure there.")
    private Path svg;

    @Override
    public Integer call() throws IOException {
        if (part < 1 || part > 100) {
            throw new ParameterException(spec.commandLine(), "--part is from 1 to 100");
        }
        PrintWriter out = spec.commandLine().getOut();
        PrintWriter err = spec.commandLine().getErr();
        boolean watched = System.console() != null;
        List<Row> rows = new Slopes(part, what -> {
                    if (watched) {
                        err.print("\r" + what + "                    ");
                        err.flush();
                    }
                })
                .all();
        table(out, rows);
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

    private static void table(PrintWriter out, List<Row> rows) {
        for (Row row : rows) {
            LinearFit fit = row.fit();
            out.printf(Locale.ROOT, "%s: %s (%s)%n", row.role(), row.what(), row.unit());
            StringBuilder points = new StringBuilder();
            double[] residuals = fit.residuals(row.x(), row.y());
            for (int i = 0; i < row.x().length; i++) {
                points.append(String.format(
                        Locale.ROOT, "  %s: %s (%+.0f%%)", number(row.x()[i]), number(row.y()[i]), 100 * residuals[i]));
            }
            out.println("   by " + row.by() + points);
            out.printf(
                    Locale.ROOT,
                    "   %s + %s each; %s, off by %.0f%% at most; at %s: %s%n",
                    number(fit.intercept()),
                    number(fit.slope()),
                    fit.shape(),
                    100 * fit.worst(),
                    number(row.coming()),
                    number(fit.at(row.coming())));
        }
        out.flush();
    }

    private static String list(double[] values) {
        List<String> texts = new ArrayList<>();
        for (double value : values) {
            texts.add(String.format(Locale.ROOT, "%.6g", value));
        }
        return "[" + String.join(", ", texts) + "]";
    }

    private static String json(List<Row> rows) {
        List<String> lines = new ArrayList<>();
        for (Row row : rows) {
            LinearFit fit = row.fit();
            lines.add(String.format(
                    Locale.ROOT,
                    "  {\"role\": \"%s\", \"what\": \"%s\", \"unit\": \"%s\", "
                            + "\"by\": \"%s\", "
                            + "\"x\": %s, \"y\": %s, \"intercept\": %.6g, \"slope\": %.6g, \"worst\": %.4f, "
                            + "\"power\": %.3f, "
                            + "\"coming\": %.0f, \"foretold\": %.6g}",
                    row.role(),
                    row.what(),
                    row.unit(),
                    row.by(),
                    list(row.x()),
                    list(row.y()),
                    fit.intercept(),
                    fit.slope(),
                    fit.worst(),
                    fit.power(),
                    row.coming(),
                    fit.at(row.coming())));
        }
        return "[\n" + String.join(",\n", lines) + "\n]\n";
    }

    private static String svg(List<Row> rows) {
        int columns = 3;
        int lines = (rows.size() + columns - 1) / columns;
        StringBuilder text = new StringBuilder(String.format(
                Locale.ROOT,
                "<svg xmlns=\"http://www.w3.org/2000/svg\" "
                        + "viewBox=\"0 0 %d %d\" font-family=\"sans-serif\" font-size=\"10\">%n<title>What grows "
                        + "with what</title>%n"
                        + "<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>%n",
                columns * WIDTH,
                lines * HEIGHT));
        for (int i = 0; i < rows.size(); i++) {
            panel(text, rows.get(i), i % columns * WIDTH, i / columns * HEIGHT);
        }
        return text.append("</svg>\n").toString();
    }

    private static void panel(StringBuilder text, Row row, int left, int top) {
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
                row.what(),
                left + 10,
                top + HEIGHT - 8,
                number(mostY),
                row.unit(),
                number(mostX),
                row.by(),
                fit.shape()));
        double x0 = left + 10;
        double y0 = top + HEIGHT - 25;
        double width = WIDTH - 30;
        double height = HEIGHT - 55;
        text.append(String.format(
                Locale.ROOT,
                "<line x1=\"%.0f\" y1=\"%.1f\" x2=\"%.0f\" y2=\"%.1f\" " + "stroke=\"#999\"/>%n",
                x0,
                y0 - height * Math.max(0, fit.at(0)) / mostY,
                x0 + width,
                y0 - height * Math.min(1.1, fit.at(mostX) / mostY)));
        for (int i = 0; i < row.x().length; i++) {
            text.append(String.format(
                    Locale.ROOT,
                    "<circle cx=\"%.1f\" cy=\"%.1f\" r=\"3\" " + "fill=\"#1f6fb4\"/>%n",
                    x0 + width * row.x()[i] / mostX,
                    y0 - height * row.y()[i] / mostY));
        }
    }
}
