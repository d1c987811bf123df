package yewjunction.system;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import yewjunction.control.OperatorApi;
import yewjunction.membership.NodeRole;
import yewjunction.node.ControlNode;

/**
 * Sends one order after another and repeats each, to any node, until it is acknowledged: some
 * answers get lost.
 */
final class RetryingOperator {
  /** ms; as long as the operator waits for an answer. */
  private static final long PATIENCE_MS = 1_000;

  private static final double LOST_SHARE = 0.15;

  /** The newest version that was acknowledged. */
  long acked;

  long newestAskedMs;
  int acks;

  /** Who acknowledged last. */
  String acknowledger = "";

  /** What the rules forbid. */
  final List<String> wrongs = new ArrayList<>();

  boolean quiet;
  private final SimulatedCluster cluster;
  private final String tenants;
  private long askedMs;

  RetryingOperator(final SimulatedCluster cluster, final String tenants) {
    this.cluster = cluster;
    this.tenants = tenants;
    acked = cluster.version;
    cluster.network.after(50, this::order);
    cluster.network.every(700, this::read);
  }

  private String any() {
    final List<String> controlNodes = cluster.all(NodeRole.CONTROL);
    return controlNodes.get(cluster.network.random.nextInt(controlNodes.size()));
  }

  private void order() {
    if (quiet) {
      cluster.network.after(100, this::order);
      return;
    }
    askedMs = cluster.network.nowMs();
    insist(any());
  }

  private void insist(final String controlNode) {
    final long version = acked + 1;
    final String body =
        SimulatedCluster.config(
            version,
            SimulatedCluster.route("s.") + "," + SimulatedCluster.route("x" + version % 5 + "."),
            tenants);
    call(
        controlNode,
        "POST",
        "/-/config/replace",
        acked,
        body,
        response -> {
          if (response == null || response.status() == 503) {
            cluster.network.after(100, () -> insist(any()));
          } else if (response.status() == 200) {
            acked = version;
            acks++;
            newestAskedMs = Math.max(newestAskedMs, askedMs);
            cluster.network.after(20 + cluster.network.random.nextInt(700), this::order);
          } else {
            wrongs.add(
                "order "
                    + version
                    + " got "
                    + response.status()
                    + " "
                    + response.json()
                    + " at "
                    + cluster.network.nowMs());
            cluster.network.after(200, () -> insist(any()));
          }
        });
  }

  private void read() {
    final long floor = acked;
    call(
        any(),
        "GET",
        "/-/config/show",
        0,
        "",
        response -> {
          if (response != null && response.status() != 503) {
            final long shown =
                response.status() == 200
                    ? Long.parseLong(response.json().replaceAll(".*\"Ver\":([0-9]+).*", "$1"))
                    : 0;
            if (shown < floor) {
              wrongs.add(
                  "read "
                      + shown
                      + " after "
                      + floor
                      + " was acknowledged, at "
                      + cluster.network.nowMs());
            }
          }
        });
  }

  /**
   * One call with its redirections; null stands for no answer in time, or for one that got lost.
   */
  private void call(
      final String controlNode,
      final String method,
      final String path,
      final long base,
      final String body,
      final Consumer<OperatorApi.Response> done) {
    final int[] state = {1, 0};
    cluster.network.after(PATIENCE_MS, () -> end(state, null, done));
    hop(controlNode, method, path, base, body, state, done);
  }

  private void hop(
      final String controlNode,
      final String method,
      final String path,
      final long base,
      final String body,
      final int[] state,
      final Consumer<OperatorApi.Response> done) {
    if (!(cluster.nodes.get(controlNode) instanceof ControlNode)) {
      return;
    }
    cluster.call(
        controlNode,
        method,
        path,
        base,
        body,
        response ->
            cluster.network.after(
                1,
                () -> {
                  if (response.status() == 307 && state[1]++ < 2) {
                    hop(response.leaderAddress(), method, path, base, body, state, done);
                  } else if (response.status() != 307
                      && cluster.network.random.nextDouble() >= LOST_SHARE) {
                    acknowledger =
                        method.equals("POST") && response.status() == 200
                            ? controlNode
                            : acknowledger;
                    end(state, response, done);
                  }
                }));
  }

  private static void end(
      final int[] state,
      final OperatorApi.Response response,
      final Consumer<OperatorApi.Response> done) {
    if (state[0] != 0) {
      state[0] = 0;
      done.accept(response);
    }
  }
}
