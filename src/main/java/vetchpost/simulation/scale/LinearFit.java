package vetchpost.simulation.scale;

import java.util.Locale;

/**
 * A least-squares line through measured points, its largest error, and the exponent of growth, which is 1 for a
 * straight line through the origin.
 *
 * @param intercept value at x = 0
 * @param slope growth of the value for each unit of x
 * @param maxRelativeError largest distance of a point from the line, as a fraction of the point's value
 * @param power slope of the line through the logarithms
 */
record LinearFit(double intercept, double slope, double maxRelativeError, double power) {
    /** Timings on a machine with other load vary by this much, so that a larger error means a curve. */
    private static final double MAX_STRAIGHT_RELATIVE_ERROR = 0.15;

    /** Fits a line through at least two points. */
    static LinearFit of(double[] x, double[] y) {
        double[] line = leastSquares(x, y);
        double worstError = 0;
        double[] logX = new double[x.length];
        double[] logY = new double[x.length];
        for (int i = 0; i < x.length; i++) {
            worstError =
                    Math.max(worstError, Math.abs(line[0] + line[1] * x[i] - y[i]) / Math.max(1e-12, Math.abs(y[i])));
            logX[i] = Math.log(x[i]);
            logY[i] = Math.log(Math.max(1e-12, y[i]));
        }
        return new LinearFit(line[0], line[1], worstError, leastSquares(logX, logY)[1]);
    }

    private static double[] leastSquares(double[] x, double[] y) {
        double meanX = 0;
        double meanY = 0;
        for (int i = 0; i < x.length; i++) {
            meanX += x[i] / x.length;
            meanY += y[i] / x.length;
        }
        double covariance = 0;
        double variance = 0;
        for (int i = 0; i < x.length; i++) {
            covariance += (x[i] - meanX) * (y[i] - meanY);
            variance += (x[i] - meanX) * (x[i] - meanX);
        }
        double slope = variance == 0 ? 0 : covariance / variance;
        return new double[] {meanY - slope * meanX, slope};
    }

    /** Returns the value of the line at {@code x}. */
    double predict(double x) {
        return intercept + slope * x;
    }

    /** Returns the residuals in the order of the points, as fractions of their values. */
    double[] residuals(double[] x, double[] y) {
        double[] residuals = new double[x.length];
        for (int i = 0; i < x.length; i++) {
            residuals[i] = (y[i] - predict(x[i])) / Math.max(1e-12, Math.abs(y[i]));
        }
        return residuals;
    }

    /** Describes the shape: straight, nearly flat, or the exponent of growth. */
    String shape() {
        return maxRelativeError <= MAX_STRAIGHT_RELATIVE_ERROR
                ? "straight"
                : power < 0.25 ? "nearly flat" : String.format(Locale.ROOT, "grows by the power of %.2f", power);
    }
}
