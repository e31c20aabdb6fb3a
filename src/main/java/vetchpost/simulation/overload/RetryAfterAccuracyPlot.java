package vetchpost.simulation.overload;

import java.util.List;
import java.util.Locale;
import java.util.Map;

/** What clients were told against what it took until their answers, a picture for each load. */
final class RetryAfterAccuracyPlot {
    private static final int SIDE = 280;
    private static final int GAP = 60;
    private static final int MOST_DOTS = 800;
    private static final int TICKS = 4;

    private RetryAfterAccuracyPlot() {}

    /** As one drawing, by load. */
    static String svg(Map<Double, List<OverloadResult.Told>> byLoad) {
        StringBuilder svg = new StringBuilder();
        int width = GAP + byLoad.size() * (SIDE + GAP);
        svg.append(String.format(
                Locale.ROOT,
                "<svg xmlns=\"http://www.w3.org/2000/svg\" "
                        + "viewBox=\"0 0 %d %d\" "
                        + "font-family=\"sans-serif\" font-size=\"12\">%n<title>Advised against needed wait</title>%n"
                        + "<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>%n",
                width,
                SIDE + 2 * GAP));
        int left = GAP;
        for (Map.Entry<Double, List<OverloadResult.Told>> entry : byLoad.entrySet()) {
            panel(svg, left, entry.getKey(), entry.getValue());
            left += SIDE + GAP;
        }
        return svg.append("</svg>\n").toString();
    }

    private static void panel(StringBuilder svg, int left, double load, List<OverloadResult.Told> told) {
        double most = 1;
        for (OverloadResult.Told one : told) {
            most = Math.max(most, Math.max(one.advisedUs(), one.neededUs()) / 1e6);
        }
        int bottom = GAP + SIDE;
        svg.append(String.format(
                Locale.ROOT,
                "<text x=\"%d\" y=\"%d\" text-anchor=\"middle\">%.1f times " + "what the boxes can do</text>%n",
                left + SIDE / 2,
                GAP - 12,
                load));
        svg.append(String.format(
                Locale.ROOT,
                "<rect x=\"%d\" y=\"%d\" width=\"%d\" height=\"%d\" " + "fill=\"none\" stroke=\"#444\"/>%n",
                left,
                GAP,
                SIDE,
                SIDE));
        for (int i = 0; i <= TICKS; i++) {
            int at = SIDE * i / TICKS;
            svg.append(String.format(
                    Locale.ROOT,
                    "<text x=\"%d\" y=\"%d\" text-anchor=\"middle\">%.1f</text>%n",
                    left + at,
                    bottom + 16,
                    most * i / TICKS));
            svg.append(String.format(
                    Locale.ROOT,
                    "<text x=\"%d\" y=\"%d\" text-anchor=\"end\">%.1f</text>%n",
                    left - 5,
                    bottom - at + 4,
                    most * i / TICKS));
        }
        svg.append(String.format(
                Locale.ROOT,
                "<text x=\"%d\" y=\"%d\" text-anchor=\"middle\">advised, s</text>%n"
                        + "<text x=\"%d\" y=\"%d\" text-anchor=\"middle\" transform=\"rotate(-90 %d %d)\">"
                        + "needed, s</text>%n",
                left + SIDE / 2,
                bottom + 34,
                left - 34,
                GAP + SIDE / 2,
                left - 34,
                GAP + SIDE / 2));
        svg.append("<g fill=\"#1f6fb4\" fill-opacity=\"0.4\">\n");
        int step = Math.max(1, told.size() / MOST_DOTS);
        for (int i = 0; i < told.size(); i += step) {
            svg.append(String.format(
                    Locale.ROOT,
                    "<circle cx=\"%.1f\" cy=\"%.1f\" r=\"1.5\"/>%n",
                    left + told.get(i).advisedUs() / 1e6 / most * SIDE,
                    bottom - told.get(i).neededUs() / 1e6 / most * SIDE));
        }
        svg.append(String.format(
                Locale.ROOT,
                "</g>%n<path d=\"M%d %dL%d %d\" stroke=\"#c33\" " + "stroke-dasharray=\"4 3\"/>%n",
                left,
                bottom,
                left + SIDE,
                GAP));
    }
}
