package yewjunction.capacity;

import java.util.List;

/** A straight line through points by least squares, and how far the worst point lies from it. */
record Slope(double perUnit, double base, double worst) {
  /** Two points are always on a line: that shows nothing. */
  static Slope through(final List<double[]> points) {
    if (points.size() < 3) {
      throw new IllegalArgumentException("a slope needs three points or more");
    }
    double sumX = 0;
    double sumY = 0;
    double sumXx = 0;
    double sumXy = 0;
    for (final double[] point : points) {
      sumX += point[0];
      sumY += point[1];
      sumXx += point[0] * point[0];
      sumXy += point[0] * point[1];
    }
    final int count = points.size();
    final double perUnit = (count * sumXy - sumX * sumY) / (count * sumXx - sumX * sumX);
    final double base = (sumY - perUnit * sumX) / count;
    double worst = 0;
    for (final double[] point : points) {
      final double line = base + perUnit * point[0];
      worst = Math.max(worst, Math.abs(point[1] - line) / Math.max(1e-9, Math.abs(point[1])));
    }
    return new Slope(perUnit, base, worst);
  }

  String text() {
    return String.format(
        "%.4g + %.4g x count (worst point off by %.0f %%)", base, perUnit, 100 * worst);
  }
}
