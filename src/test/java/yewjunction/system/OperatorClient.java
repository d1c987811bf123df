package yewjunction.system;

import java.util.ArrayList;
import java.util.List;
import yewjunction.control.OperatorApi;
import yewjunction.membership.NodeRole;

/** An operator who asks one control node after the other until one gives a clear answer. */
final class OperatorClient {
  private static final int MAX_ATTEMPTS = 20;

  /** Simulated ms; the longest that a control node takes to answer. */
  private static final long ANSWER_TIMEOUT_MS = 1_000;

  /** Simulated ms between two attempts. */
  private static final long RETRY_PAUSE_MS = 100;

  private final SimulatedCluster cluster;

  OperatorClient(final SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  /** Returns the first answer that is neither a redirection nor "no clear answer". */
  OperatorApi.Response ask(
      final String method, final String path, final String base, final String body) {
    final List<OperatorApi.Response> answers = new ArrayList<>();
    for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      answers.clear();
      cluster.call(
          cluster.all(NodeRole.CONTROL).get(attempt % 3),
          method,
          path,
          Long.parseLong(base),
          body,
          answers::add);
      cluster.network.runUntil(() -> !answers.isEmpty(), ANSWER_TIMEOUT_MS);
      if (!answers.isEmpty() && isClear(answers.get(0))) {
        return answers.get(0);
      }
      cluster.network.runFor(RETRY_PAUSE_MS);
    }
    throw new AssertionError("no answer to " + path);
  }

  private static boolean isClear(final OperatorApi.Response answer) {
    return answer.status() != 307 && answer.status() != 503;
  }

  /** A configuration with one route and one tenant. */
  static String config(final long version) {
    return SimulatedCluster.config(
        version, SimulatedCluster.route("s."), SimulatedCluster.tenant("t", "key", 5));
  }
}
