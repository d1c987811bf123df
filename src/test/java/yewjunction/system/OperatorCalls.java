package yewjunction.system;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import yewjunction.control.OperatorApi;
import yewjunction.membership.NodeRole;
import yewjunction.node.ControlNode;

/** Single calls of an operator to single cruxes, each answered or not. */
final class OperatorCalls {
  final SimulatedCluster town;
  final List<String> cruxes;
  private final ConcurrentOperators.Gate gate;

  /** One call and what came of it. */
  static final class Call {
    OperatorApi.Response answer;
    long tookMs;

    int status() {
      return answer == null ? 0 : answer.status();
    }

    String json() {
      return answer == null ? "" : answer.json();
    }
  }

  OperatorCalls(final SimulatedCluster town) {
    this(town, FaultyOperatorApi.real(town));
  }

  OperatorCalls(final SimulatedCluster town, final ConcurrentOperators.Gate gate) {
    this.town = town;
    this.gate = gate;
    cruxes = town.all(NodeRole.CONTROL);
  }

  /** A town that has settled and taken version 1. */
  static OperatorCalls begun(
      final long seed, final Function<SimulatedCluster, ConcurrentOperators.Gate> plant) {
    final SimulatedCluster town = new SimulatedCluster(seed, true);
    final OperatorCalls orders = new OperatorCalls(town, plant.apply(town));
    town.world.loss = 0;
    town.world.runFor(4_500);
    assertEquals(200, orders.insist("POST", "/-/config/replace", 0, config(1, "a.")).status());
    return orders;
  }

  static String config(final long version, final String route) {
    return SimulatedCluster.config(
        version, SimulatedCluster.route(route), SimulatedCluster.tenant("t", "key", 5));
  }

  static String update(final long version, final String route) {
    return "{\"Ver\":"
        + version
        + ",\"Upsert\":{\"Routes\":["
        + SimulatedCluster.route(route)
        + "]}}";
  }

  Call send(
      final String crux,
      final String method,
      final String path,
      final String base,
      final String body) {
    final Call call = new Call();
    final long startMs = town.world.nowMs();
    gate.call(
        crux,
        new OperatorApi.Request(method, path, base, body.getBytes(StandardCharsets.UTF_8)),
        answer -> {
          call.answer = answer;
          call.tookMs = town.world.nowMs() - startMs;
        });
    return call;
  }

  Call now(
      final String crux,
      final String method,
      final String path,
      final String base,
      final String body) {
    final Call call = send(crux, method, path, base, body);
    town.world.runUntil(() -> call.answer != null, 3_000);
    return call;
  }

  Call replace(final String crux, final long base, final String body) {
    return send(crux, "POST", "/-/config/replace", "" + base, body);
  }

  /** Goes on to other cruxes as callers do, until one answers clearly. */
  Call insist(final String method, final String path, final long base, final String body) {
    for (int attempt = 0; attempt < 60; attempt++) {
      final Call call = send(cruxes.get(attempt % cruxes.size()), method, path, "" + base, body);
      town.world.runUntil(() -> call.answer != null, 1_000);
      if (call.answer != null && call.status() != 307 && call.status() != 503) {
        return call;
      }
      town.world.runFor(100);
    }
    throw new AssertionError("no answer to " + path);
  }

  Call show() {
    return insist("GET", "/-/config/show", 0, "");
  }

  long shown() {
    return Long.parseLong(show().json().replaceAll(".*\"Ver\":([0-9]+).*", "$1"));
  }

  /** Who says that it leads; the one in the given part where the core is parted. */
  String leader(final List<String> among) {
    final List<String> leaders = new ArrayList<>();
    town.world.runUntil(
        () -> {
          leaders.clear();
          for (final String crux : among) {
            if (town.world.host(crux).up()) {
              ((ControlNode) town.nodes.get(crux))
                  .desk()
                  .take(
                      new OperatorApi.Request("GET", "/-/outlook/show", null, new byte[0]),
                      answer -> {
                        if (answer.json().contains("\"Leads\":true")) {
                          leaders.add(crux);
                        }
                      });
            }
          }
          return !leaders.isEmpty();
        },
        10_000);
    return leaders.get(0);
  }

  String leader() {
    return leader(cruxes);
  }

  List<String> others(final String than) {
    return cruxes.stream().filter(crux -> !crux.equals(than)).toList();
  }

  void cutOff(final String crux) {
    town.nodes.keySet().stream()
        .filter(other -> !SimulatedCluster.zone(other).equals(SimulatedCluster.zone(crux)))
        .forEach(other -> town.world.cut(crux, other));
  }
}
