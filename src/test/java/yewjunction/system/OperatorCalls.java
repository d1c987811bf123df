package yewjunction.system;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import yewjunction.control.OperatorApi;
import yewjunction.membership.NodeRole;
import yewjunction.node.ControlNode;

/** Single calls of an operator to single control nodes, each answered or not. */
final class OperatorCalls {
  final SimulatedCluster cluster;
  final List<String> controlNodes;
  private final ConcurrentOperators.Gate gate;

  /** One call and what came of it. */
  static final class Call {
    OperatorApi.Response response;
    long tookMs;

    int status() {
      return response == null ? 0 : response.status();
    }

    String json() {
      return response == null ? "" : response.json();
    }
  }

  OperatorCalls(final SimulatedCluster cluster) {
    this(cluster, FaultyOperatorApi.real(cluster));
  }

  OperatorCalls(final SimulatedCluster cluster, final ConcurrentOperators.Gate gate) {
    this.cluster = cluster;
    this.gate = gate;
    controlNodes = cluster.all(NodeRole.CONTROL);
  }

  /** A system that has settled and taken version 1. */
  static OperatorCalls begun(
      final long seed, final Function<SimulatedCluster, ConcurrentOperators.Gate> plant) {
    final SimulatedCluster cluster = new SimulatedCluster(seed, true);
    final OperatorCalls orders = new OperatorCalls(cluster, plant.apply(cluster));
    cluster.network.loss = 0;
    cluster.network.runFor(4_500);
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
      final String controlNode,
      final String method,
      final String path,
      final String base,
      final String body) {
    final Call call = new Call();
    final long startMs = cluster.network.nowMs();
    gate.call(
        controlNode,
        new OperatorApi.Request(method, path, base, body.getBytes(StandardCharsets.UTF_8)),
        response -> {
          call.response = response;
          call.tookMs = cluster.network.nowMs() - startMs;
        });
    return call;
  }

  Call now(
      final String controlNode,
      final String method,
      final String path,
      final String base,
      final String body) {
    final Call call = send(controlNode, method, path, base, body);
    cluster.network.runUntil(() -> call.response != null, 3_000);
    return call;
  }

  Call replace(final String controlNode, final long base, final String body) {
    return send(controlNode, "POST", "/-/config/replace", "" + base, body);
  }

  /** Goes on to other control nodes as callers do, until one answers clearly. */
  Call insist(final String method, final String path, final long base, final String body) {
    return insist(60, method, path, base, body);
  }

  Call insist(
      final int maxAttempts,
      final String method,
      final String path,
      final long base,
      final String body) {
    for (int attempt = 0; attempt < maxAttempts; attempt++) {
      final Call call =
          send(controlNodes.get(attempt % controlNodes.size()), method, path, "" + base, body);
      cluster.network.runUntil(() -> call.response != null, 1_000);
      if (call.response != null && call.status() != 307 && call.status() != 503) {
        return call;
      }
      cluster.network.runFor(100);
    }
    throw new AssertionError("no answer to " + path);
  }

  Call show() {
    return insist("GET", "/-/config/show", 0, "");
  }

  long shown() {
    return Long.parseLong(show().json().replaceAll(".*\"Ver\":([0-9]+).*", "$1"));
  }

  /** Who says that it leads; the one in the given part where the control group is parted. */
  String leader(final List<String> among) {
    final List<String> leaders = new ArrayList<>();
    cluster.network.runUntil(
        () -> {
          leaders.clear();
          for (final String controlNode : among) {
            if (cluster.network.host(controlNode).up()) {
              ((ControlNode) cluster.nodes.get(controlNode))
                  .operatorApi()
                  .handle(
                      new OperatorApi.Request("GET", "/-/outlook/show", null, new byte[0]),
                      response -> {
                        if (response.json().contains("\"Leads\":true")) {
                          leaders.add(controlNode);
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
    return leader(controlNodes);
  }

  List<String> others(final String than) {
    return controlNodes.stream().filter(controlNode -> !controlNode.equals(than)).toList();
  }

  void cutOff(final String controlNode) {
    cluster.nodes.keySet().stream()
        .filter(other -> !SimulatedCluster.zone(other).equals(SimulatedCluster.zone(controlNode)))
        .forEach(other -> cluster.network.cut(controlNode, other));
  }
}
