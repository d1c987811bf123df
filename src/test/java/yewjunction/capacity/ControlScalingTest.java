package yewjunction.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** What must not grow with the number of nodes: a mechanism that stops scaling fails here. */
class ControlScalingTest {
  /**
   * Times; four times the nodes may cost this much more for each: timers that fall differently, and
   * log terms.
   */
  private static final double FLAT = 1.35;

  private static ControlTraffic control(final int edges) {
    final ControlTraffic control = new ControlTraffic();
    assertTrue(control.measure(edges, 5, 5), edges + " edges did not settle");
    return control;
  }

  @Test
  void controlCostsAnEdgeTheSameHoweverManyThereAre() {
    final ControlTraffic small = control(12);
    final ControlTraffic large = control(48);
    for (final String name :
        new String[] {
          "edge: membership, messages/s a node, both ways",
          "edge: control, messages/s a node, both ways",
          "edge: control, bytes/s a node, both ways",
          "change of the configuration: bytes an edge hears",
          "restart of one edge: bytes of leases and facts that each other edge hears"
        }) {
      final double before = small.figures.get(name);
      final double after = large.figures.get(name);
      assertTrue(
          before > 0 && after <= FLAT * before,
          name + ": " + before + " with 12 edges, " + after + " with 48");
    }
  }

  /**
   * A change is told as a change: the whole would be 17 KB here, once for each of its tellers'
   * words.
   */
  @Test
  void aChangeOfTheConfigurationIsToldAsAChange() {
    final double bytes =
        control(12).figures.get("change of the configuration: bytes an edge hears");
    assertTrue(bytes > 0 && bytes < 2_000, "an edge heard " + bytes);
  }

  @Test
  void aStraightLineAndItsResidual() {
    final Slope slope =
        Slope.through(
            java.util.List.of(
                new double[] {10, 120}, new double[] {20, 220}, new double[] {40, 420}));
    assertEquals(10, slope.perUnit(), 1e-9);
    assertEquals(20, slope.base(), 1e-9);
    assertEquals(0, slope.worst(), 1e-9);
    assertThrows(
        IllegalArgumentException.class, () -> Slope.through(java.util.List.of(new double[] {10})));
  }
}
