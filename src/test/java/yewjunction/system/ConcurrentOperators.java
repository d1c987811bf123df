package yewjunction.system;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import yewjunction.control.OperatorApi;
import yewjunction.membership.NodeRole;

/**
 * Operators that change and look all the time, lose answers and repeat at other control nodes; all
 * they see is written down.
 */
final class ConcurrentOperators {
  final SimulatedCluster cluster;
  final List<LinearizabilityChecker.Call> history = new ArrayList<>();
  private final Random random;
  private final Gate gate;
  private long known;
  private int changes;
  boolean quiet;

  /** Between the operators and the control nodes: passes calls on, or answers in their place. */
  interface Gate {
    void call(
        String controlNode, OperatorApi.Request request, Consumer<OperatorApi.Response> responder);
  }

  ConcurrentOperators(final SimulatedCluster cluster, final long seed, final Gate gate) {
    this.cluster = cluster;
    this.gate = gate;
    random = new Random(seed);
  }

  void begin() {
    for (int operator = 0; operator < 8; operator++) {
      cluster.network.after(1 + operator, this::next);
    }
  }

  private void next() {
    if (quiet) {
      return;
    }
    if (random.nextInt(3) == 0) {
      attempt(new LinearizabilityChecker.Call(0, 0, null, "", 0, 0, 0), "", 0);
      return;
    }
    // Mostly on what was seen last, at times on what is old or not there yet; two may pick the same
    // number.
    final long base = Math.max(0, known + (random.nextInt(8) == 0 ? random.nextInt(5) - 2 : 0));
    final long version = base + 1 + random.nextInt(2);
    final String change = "c" + ++changes + ".";
    final boolean update = base > 0 && random.nextInt(3) == 0;
    final LinearizabilityChecker.Call call =
        new LinearizabilityChecker.Call(base, version, change, "", 0, 0, 0);
    attempt(
        call,
        update ? OperatorCalls.update(version, change) : OperatorCalls.config(version, change),
        0);
  }

  private void attempt(
      final LinearizabilityChecker.Call call, final String body, final int attempt) {
    if (attempt == 5 || quiet) {
      cluster.network.after(20 + random.nextInt(100), this::next);
      return;
    }
    final OperatorApi.Request request = request(call, body);
    final List<String> controlNodes = cluster.all(NodeRole.CONTROL);
    final long calledMs = cluster.network.nowMs();
    final boolean[] over = new boolean[1];
    final Runnable again =
        () -> {
          if (!over[0]) {
            over[0] = true;
            history.add(
                new LinearizabilityChecker.Call(
                    call.base(),
                    call.version(),
                    call.change(),
                    "",
                    0,
                    calledMs,
                    LinearizabilityChecker.NEVER));
            cluster.network.after(random.nextInt(150), () -> attempt(call, body, attempt + 1));
          }
        };
    cluster.network.after(1_000, again);
    final Consumer<OperatorApi.Response> answered =
        response -> {
          if (over[0] || random.nextInt(4) == 0) {
            return;
          }
          if (response.status() == 307 || response.status() >= 500) {
            again.run();
            return;
          }
          over[0] = true;
          note(call, response, calledMs);
          cluster.network.after(20 + random.nextInt(100), this::next);
        };
    gate.call(
        controlNodes.get(random.nextInt(controlNodes.size())),
        request,
        response -> {
          // A redirect is followed once, as callers do.
          if (response.status() == 307 && !over[0]) {
            gate.call(response.leaderAddress(), request, answered);
          } else {
            answered.accept(response);
          }
        });
  }

  private static OperatorApi.Request request(
      final LinearizabilityChecker.Call call, final String body) {
    final String path =
        call.change() == null ? "show" : body.contains("Upsert") ? "update" : "replace";
    return new OperatorApi.Request(
        call.change() == null ? "GET" : "POST",
        "/-/config/" + path,
        "" + call.base(),
        body.getBytes(StandardCharsets.UTF_8));
  }

  private void note(
      final LinearizabilityChecker.Call call,
      final OperatorApi.Response response,
      final long calledMs) {
    final long version =
        call.change() != null || response.status() != 200
            ? call.version()
            : Long.parseLong(response.json().replaceAll(".*\"Ver\":([0-9]+).*", "$1"));
    if (response.status() == 200) {
      known = Math.max(known, version);
    }
    history.add(
        new LinearizabilityChecker.Call(
            call.base(),
            version,
            call.change(),
            response.json(),
            response.status(),
            calledMs,
            cluster.network.nowMs()));
  }
}
