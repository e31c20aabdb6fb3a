package vetchpost.simulation.scale;

import java.util.Locale;

/**
 * A straight line through measured points by least squares, and how far the points are from it; and the power
 * by which they grow, which is 1 for a straight line without a beginning of its own.
 *
 * @param intercept at nothing
 * @param slope for each one more
 * @param worst the largest distance of a point from the line, as a share of the point's own value
 * @param power the slope of the logarithms
 */
record LinearFit(double intercept, double slope, double maxRelativeError, double power) {
    /** A line is called straight up to here: timings on a machine with other work on it spread by so much. */
    private static final double MAX_STRAIGHT_RELATIVE_ERROR = 0.15;

    /** Through these points, two at least. */
    static LinearFit of(double[] x, double[] y) {
        double[] line = leastSquares(x, y);
        double worst = 0;
        double[] logX = new double[x.length];
        double[] logY = new double[x.length];
        for (int i = 0; i < x.length; i++) {
            worst = Math.max(worst, Math.abs(line[0] + line[1] * x[i] - y[i]) / Math.max(1e-12, Math.abs(y[i])));
            logX[i] = Math.log(x[i]);
            logY[i] = Math.log(Math.max(1e-12, y[i]));
        }
        return new LinearFit(line[0], line[1], worst, leastSquares(logX, logY)[1]);
    }

    private static double[] leastSquares(double[] x, double[] y) {
        double meanX = 0;
        double meanY = 0;
        for (int i = 0; i < x.length; i++) {
            meanX += x[i] / x.length;
            meanY += y[i] / x.length;
        }
        double both = 0;
        double square = 0;
        for (int i = 0; i < x.length; i++) {
            both += (x[i] - meanX) * (y[i] - meanY);
            square += (x[i] - meanX) * (x[i] - meanX);
        }
        double slope = square == 0 ? 0 : both / square;
        return new double[] {meanY - slope * meanX, slope};
    }

    /** What the line foretells. */
    double predict(double x) {
        return intercept + slope * x;
    }

    /** The residuals, in the order of the points, as shares of their values. */
    double[] residuals(double[] x, double[] y) {
        double[] residuals = new double[x.length];
        for (int i = 0; i < x.length; i++) {
            residuals[i] = (y[i] - predict(x[i])) / Math.max(1e-12, Math.abs(y[i]));
        }
        return residuals;
    }

    /** In words: straight, or what shape it has. */
    String shape() {
        return maxRelativeError <= MAX_STRAIGHT_RELATIVE_ERROR
                ? "straight"
                : power < 0.25 ? "nearly flat" : String.format(Locale.ROOT, "grows by the power of %.2f", power);
    }
}
