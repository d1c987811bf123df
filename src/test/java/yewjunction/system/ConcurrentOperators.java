package yewjunction.system;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import yewjunction.control.OperatorApi;
import yewjunction.membership.NodeRole;
import yewjunction.node.ControlNode;
import yewjunction.simulation.SimulatedHost;

/**
 * Operators that change and look all the time, lose answers and repeat at other cruxes; all they
 * see is written down.
 */
final class ConcurrentOperators {
  final SimulatedCluster town;
  final List<LinearizabilityChecker.Call> history = new ArrayList<>();
  private final Random luck;
  private final Gate gate;
  private long known;
  private int changes;
  boolean quiet;

  /** Between the operators and the cruxes: passes calls on, or answers in their place. */
  interface Gate {
    void call(String crux, OperatorApi.Request request, Consumer<OperatorApi.Response> answer);
  }

  ConcurrentOperators(final SimulatedCluster town, final long seed, final Gate gate) {
    this.town = town;
    this.gate = gate;
    luck = new Random(seed);
  }

  /** The real desk of a crux, where its process is up. */
  static void ask(
      final SimulatedCluster town,
      final String crux,
      final OperatorApi.Request request,
      final Consumer<OperatorApi.Response> answer) {
    final SimulatedHost host = town.world.host(crux);
    if (host.up()) {
      host.post(() -> ((ControlNode) town.nodes.get(crux)).desk().take(request, answer));
    }
  }

  void begin() {
    for (int operator = 0; operator < 8; operator++) {
      town.world.after(1 + operator, this::next);
    }
  }

  private void next() {
    if (quiet) {
      return;
    }
    if (luck.nextInt(3) == 0) {
      attempt(new LinearizabilityChecker.Call(0, 0, null, "", 0, 0, 0), "", 0);
      return;
    }
    // Mostly on what was seen last, at times on what is old or not there yet; two may pick the same
    // number.
    final long base = Math.max(0, known + (luck.nextInt(8) == 0 ? luck.nextInt(5) - 2 : 0));
    final long version = base + 1 + luck.nextInt(2);
    final String change = "c" + ++changes + ".";
    final boolean update = base > 0 && luck.nextInt(3) == 0;
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
      town.world.after(20 + luck.nextInt(100), this::next);
      return;
    }
    final String path =
        call.change() == null ? "show" : body.contains("Upsert") ? "update" : "replace";
    final List<String> cruxes = town.all(NodeRole.CONTROL);
    final long calledMs = town.world.nowMs();
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
            town.world.after(luck.nextInt(150), () -> attempt(call, body, attempt + 1));
          }
        };
    town.world.after(1_000, again);
    final Consumer<OperatorApi.Response> answered =
        answer -> {
          if (over[0] || luck.nextInt(4) == 0) {
            return;
          }
          if (answer.status() == 307 || answer.status() >= 500) {
            again.run();
            return;
          }
          over[0] = true;
          note(call, answer, calledMs);
          town.world.after(20 + luck.nextInt(100), this::next);
        };
    gate.call(
        cruxes.get(luck.nextInt(cruxes.size())),
        new OperatorApi.Request(
            call.change() == null ? "GET" : "POST",
            "/-/config/" + path,
            "" + call.base(),
            body.getBytes(StandardCharsets.UTF_8)),
        answer -> {
          // A redirect is followed once, as callers do.
          if (answer.status() == 307 && !over[0]) {
            gate.call(
                answer.leaderAddress(),
                new OperatorApi.Request(
                    call.change() == null ? "GET" : "POST",
                    "/-/config/" + path,
                    "" + call.base(),
                    body.getBytes(StandardCharsets.UTF_8)),
                answered);
          } else {
            answered.accept(answer);
          }
        });
  }

  private void note(
      final LinearizabilityChecker.Call call,
      final OperatorApi.Response answer,
      final long calledMs) {
    final long version =
        call.change() != null || answer.status() != 200
            ? call.version()
            : Long.parseLong(answer.json().replaceAll(".*\"Ver\":([0-9]+).*", "$1"));
    if (answer.status() == 200) {
      known = Math.max(known, version);
    }
    history.add(
        new LinearizabilityChecker.Call(
            call.base(),
            version,
            call.change(),
            answer.json(),
            answer.status(),
            calledMs,
            town.world.nowMs()));
  }
}
