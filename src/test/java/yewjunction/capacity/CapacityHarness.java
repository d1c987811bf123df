package yewjunction.capacity;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import yewjunction.subscription.AddWinsSet;

/**
 * Measures how what the system keeps, says and costs grows: hollow nodes in one process.
 * docs/CAPACITY.md uses it.
 */
public final class CapacityHarness {
  private static final int EXIT_UNSETTLED = 1;
  private static final int EXIT_REFUSED = 2;
  private static final int NODES_MOST = 1_000;

  /**
   * bytes; a process's own tables, and what its membership list keeps of each other one: both from
   * runs of this program.
   */
  private static final long NODE_BYTES = 500_000;

  private static final long PAIR_BYTES = 300;

  private CapacityHarness() {}

  private interface Run {
    /** Null when it did not settle. */
    Map<String, Double> at(int count);
  }

  public static void main(final String[] args) {
    if (args.length < 4) {
      refuse(
          "usage: control NODES..., messages COUNT..., edges COUNT..., listeners COUNT..., across STORES..., set ELEMENTS...; at least three counts");
    }
    final int[] counts = Arrays.stream(args).skip(1).mapToInt(Integer::parseInt).toArray();
    switch (args[0]) {
      case "control" -> sweep("nodes", counts, CapacityHarness::control);
      case "messages" -> sweep("messages a second", counts, count -> messages(count, 5, 1));
      case "edges" -> sweep("edges", counts, count -> messages(100, count, 1));
      case "listeners" ->
          sweep("listeners at each of 5 edges", counts, count -> messages(50, 5, count));
      case "across" ->
          sweep(
              "stores, with 90 edges and 100 messages a second", counts, CrossZoneTraffic::measure);
      case "set" -> sweep("elements", counts, CapacityHarness::set);
      default -> refuse("unknown: " + args[0]);
    }
  }

  private static void refuse(final String why) {
    System.err.println(why);
    System.exit(EXIT_REFUSED);
  }

  private static Map<String, Double> control(final int nodes) {
    final long needed = nodes * NODE_BYTES + (long) nodes * nodes * PAIR_BYTES;
    if (nodes > NODES_MOST || nodes < 20 || needed > Runtime.getRuntime().maxMemory()) {
      refuse(
          nodes
              + " nodes: from 20 to "
              + NODES_MOST
              + ", and needs about "
              + (needed >> 20)
              + " MB of heap, there are "
              + (Runtime.getRuntime().maxMemory() >> 20));
    }
    final ControlTraffic control = new ControlTraffic();
    // Five of the machines are control nodes, a seventh stores.
    return control.measure(nodes - 5 - Math.max(5, nodes / 7), Math.max(5, nodes / 7), 5)
        ? control.figures
        : null;
  }

  private static Map<String, Double> messages(
      final int perSecond, final int edges, final int listeners) {
    if (perSecond > 2_000 || edges > 100 || (long) edges * listeners > 20_000) {
      refuse("at most 2,000 messages a second, 100 edges and 20,000 listeners in one process");
    }
    final MessageCost messages = new MessageCost();
    return messages.measure(perSecond, edges, listeners) ? messages.figures : null;
  }

  /**
   * A set of so many elements, 70 clients an edge and two topics a client, as one that holds all
   * parts keeps it.
   */
  private static Map<String, Double> set(final int elements) {
    if (elements > 5_000_000) {
      refuse("at most 5,000,000 elements");
    }
    System.gc();
    final Runtime runtime = Runtime.getRuntime();
    final long before = runtime.totalMemory() - runtime.freeMemory();
    final AddWinsSet whole = new AddWinsSet();
    final int perEdge = 140;
    long bytes = 0;
    for (int edge = 0; edge * perEdge < elements; edge++) {
      final AddWinsSet part = new AddWinsSet();
      part.self(edge + 1);
      for (int i = 0; i < perEdge; i++) {
        part.add(
            "kafi810." + Integer.toString((edge * 31 + i * 7919) % 7_000, 36),
            "u" + Integer.toString(edge * 70 + i / 2, 36));
      }
      final byte[] state = part.encodeStates(List.of((long) edge + 1));
      bytes += state.length;
      whole.merge(state);
    }
    final Map<String, Double> figures = new TreeMap<>();
    figures.put("bytes on the wire of all parts", (double) bytes);
    figures.put("bytes of all digests", (double) whole.encodeDigests().length);
    System.gc();
    figures.put(
        "bytes of heap at one that holds all",
        (double) (runtime.totalMemory() - runtime.freeMemory() - before));
    // Reached until here.
    figures.put("subscribers of one topic", (double) whole.count("kafi810.0", replica -> true));
    return figures;
  }

  private static void sweep(final String what, final int[] counts, final Run run) {
    final Map<String, List<double[]>> points = new TreeMap<>();
    for (final int count : counts) {
      final long startNs = System.nanoTime();
      final Map<String, Double> figures = run.at(count);
      if (figures == null) {
        System.err.println(count + " " + what + ": did not settle, no figures");
        System.exit(EXIT_UNSETTLED);
      }
      System.err.println(
          count + " " + what + ": " + (System.nanoTime() - startNs) / 1_000_000 + " ms");
      figures.forEach(
          (name, value) ->
              points
                  .computeIfAbsent(name, key -> new ArrayList<>())
                  .add(new double[] {count, value}));
    }
    System.out.println("against " + what);
    points.forEach(
        (name, all) -> {
          final StringBuilder line = new StringBuilder(name).append('\n').append("   ");
          all.forEach(point -> line.append(String.format(" %d: %.4g ", (long) point[0], point[1])));
          System.out.println(line);
          System.out.println(
              "    "
                  + (all.size() < 3
                      ? "not seen at every count: no slope"
                      : Slope.through(all).text()));
        });
  }
}
