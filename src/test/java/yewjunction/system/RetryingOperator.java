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
  private final SimulatedCluster town;
  private final String tenants;
  private long askedMs;

  RetryingOperator(final SimulatedCluster town, final String tenants) {
    this.town = town;
    this.tenants = tenants;
    acked = town.version;
    town.world.after(50, this::order);
    town.world.every(700, this::read);
  }

  private String any() {
    final List<String> cruxes = town.all(NodeRole.CONTROL);
    return cruxes.get(town.world.luck.nextInt(cruxes.size()));
  }

  private void order() {
    if (quiet) {
      town.world.after(100, this::order);
      return;
    }
    askedMs = town.world.nowMs();
    insist(any());
  }

  private void insist(final String crux) {
    final long version = acked + 1;
    final String body =
        SimulatedCluster.config(
            version,
            SimulatedCluster.route("s.") + "," + SimulatedCluster.route("x" + version % 5 + "."),
            tenants);
    call(
        crux,
        "POST",
        "/-/config/replace",
        acked,
        body,
        answer -> {
          if (answer == null || answer.status() == 503) {
            town.world.after(100, () -> insist(any()));
          } else if (answer.status() == 200) {
            acked = version;
            acks++;
            newestAskedMs = Math.max(newestAskedMs, askedMs);
            town.world.after(20 + town.world.luck.nextInt(700), this::order);
          } else {
            wrongs.add(
                "order "
                    + version
                    + " got "
                    + answer.status()
                    + " "
                    + answer.json()
                    + " at "
                    + town.world.nowMs());
            town.world.after(200, () -> insist(any()));
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
        answer -> {
          if (answer != null && answer.status() != 503) {
            final long shown =
                answer.status() == 200
                    ? Long.parseLong(answer.json().replaceAll(".*\"Ver\":([0-9]+).*", "$1"))
                    : 0;
            if (shown < floor) {
              wrongs.add(
                  "read "
                      + shown
                      + " after "
                      + floor
                      + " was acknowledged, at "
                      + town.world.nowMs());
            }
          }
        });
  }

  /**
   * One call with its redirections; null stands for no answer in time, or for one that got lost.
   */
  private void call(
      final String crux,
      final String method,
      final String path,
      final long base,
      final String body,
      final Consumer<OperatorApi.Response> done) {
    final int[] state = {1, 0};
    town.world.after(PATIENCE_MS, () -> end(state, null, done));
    hop(crux, method, path, base, body, state, done);
  }

  private void hop(
      final String crux,
      final String method,
      final String path,
      final long base,
      final String body,
      final int[] state,
      final Consumer<OperatorApi.Response> done) {
    if (!(town.nodes.get(crux) instanceof ControlNode)) {
      return;
    }
    town.call(
        crux,
        method,
        path,
        base,
        body,
        answer ->
            town.world.after(
                1,
                () -> {
                  if (answer.status() == 307 && state[1]++ < 2) {
                    hop(answer.leaderAddress(), method, path, base, body, state, done);
                  } else if (answer.status() != 307 && town.world.luck.nextDouble() >= LOST_SHARE) {
                    acknowledger =
                        method.equals("POST") && answer.status() == 200 ? crux : acknowledger;
                    end(state, answer, done);
                  }
                }));
  }

  private static void end(
      final int[] state,
      final OperatorApi.Response answer,
      final Consumer<OperatorApi.Response> done) {
    if (state[0] != 0) {
      state[0] = 0;
      done.accept(answer);
    }
  }
}
