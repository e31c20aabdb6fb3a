package vetchpost.simulation.overload;

import java.util.List;
import java.util.Locale;
import java.util.Map;

/** What clients were told against what it took until their answers, a picture for each load. */
final class RetryAfterAccuracyPlot {
    private static final int PANEL_SIDE_PX = 280;
    private static final int GAP_PX = 60;
    private static final int MAX_POINTS_PER_PANEL = 800;
    private static final int AXIS_TICKS = 4;

    private RetryAfterAccuracyPlot() {}

    /** As one drawing, by load. */
    static String svg(Map<Double, List<OverloadResult.RetryAfterSample>> byLoad) {
        StringBuilder svg = new StringBuilder();
        int width = GAP_PX + byLoad.size() * (PANEL_SIDE_PX + GAP_PX);
        svg.append(String.format(
                Locale.ROOT,
                "<svg xmlns=\"http://www.w3.org/2000/svg\" "
                        + "viewBox=\"0 0 %d %d\" "
                        + "font-family=\"sans-serif\" font-size=\"12\">%n<title>Advised against needed wait</title>%n"
                        + "<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>%n",
                width,
                PANEL_SIDE_PX + 2 * GAP_PX));
        int left = GAP_PX;
        for (Map.Entry<Double, List<OverloadResult.RetryAfterSample>> entry : byLoad.entrySet()) {
            panel(svg, left, entry.getKey(), entry.getValue());
            left += PANEL_SIDE_PX + GAP_PX;
        }
        return svg.append("</svg>\n").toString();
    }

    private static void panel(StringBuilder svg, int left, double load, List<OverloadResult.RetryAfterSample> told) {
        double most = 1;
        for (OverloadResult.RetryAfterSample one : told) {
            most = Math.max(most, Math.max(one.retryAfterUs(), one.actualUs()) / 1e6);
        }
        int bottom = GAP_PX + PANEL_SIDE_PX;
        svg.append(String.format(
                Locale.ROOT,
                "<text x=\"%d\" y=\"%d\" text-anchor=\"middle\">%.1f times " + "what the boxes can do</text>%n",
                left + PANEL_SIDE_PX / 2,
                GAP_PX - 12,
                load));
        svg.append(String.format(
                Locale.ROOT,
                "<rect x=\"%d\" y=\"%d\" width=\"%d\" height=\"%d\" " + "fill=\"none\" stroke=\"#444\"/>%n",
                left,
                GAP_PX,
                PANEL_SIDE_PX,
                PANEL_SIDE_PX));
        for (int i = 0; i <= AXIS_TICKS; i++) {
            int at = PANEL_SIDE_PX * i / AXIS_TICKS;
            svg.append(String.format(
                    Locale.ROOT,
                    "<text x=\"%d\" y=\"%d\" text-anchor=\"middle\">%.1f</text>%n",
                    left + at,
                    bottom + 16,
                    most * i / AXIS_TICKS));
            svg.append(String.format(
                    Locale.ROOT,
                    "<text x=\"%d\" y=\"%d\" text-anchor=\"end\">%.1f</text>%n",
                    left - 5,
                    bottom - at + 4,
                    most * i / AXIS_TICKS));
        }
        svg.append(String.format(
                Locale.ROOT,
                "<text x=\"%d\" y=\"%d\" text-anchor=\"middle\">advised, s</text>%n"
                        + "<text x=\"%d\" y=\"%d\" text-anchor=\"middle\" transform=\"rotate(-90 %d %d)\">"
                        + "needed, s</text>%n",
                left + PANEL_SIDE_PX / 2,
                bottom + 34,
                left - 34,
                GAP_PX + PANEL_SIDE_PX / 2,
                left - 34,
                GAP_PX + PANEL_SIDE_PX / 2));
        svg.append("<g fill=\"#1f6fb4\" fill-opacity=\"0.4\">\n");
        int step = Math.max(1, told.size() / MAX_POINTS_PER_PANEL);
        for (int i = 0; i < told.size(); i += step) {
            svg.append(String.format(
                    Locale.ROOT,
                    "<circle cx=\"%.1f\" cy=\"%.1f\" r=\"1.5\"/>%n",
                    left + told.get(i).retryAfterUs() / 1e6 / most * PANEL_SIDE_PX,
                    bottom - told.get(i).actualUs() / 1e6 / most * PANEL_SIDE_PX));
        }
        svg.append(String.format(
                Locale.ROOT,
                "</g>%n<path d=\"M%d %dL%d %d\" stroke=\"#c33\" " + "stroke-dasharray=\"4 3\"/>%n",
                left,
                bottom,
                left + PANEL_SIDE_PX,
                GAP_PX));
    }
}
