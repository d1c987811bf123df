package yewjunction.system;

import java.util.HashSet;
import java.util.Set;
import java.util.function.Function;
import yewjunction.control.OperatorApi;
import yewjunction.node.ControlNode;

/** Operator APIs with a fault, for the tests that are to find it. */
final class FaultyOperatorApi {
  private FaultyOperatorApi() {}

  static ConcurrentOperators.Gate real(final SimulatedCluster cluster) {
    return cluster::call;
  }

  private static ConcurrentOperators.Gate changed(
      final SimulatedCluster cluster, final Change change) {
    return (controlNode, request, responder) ->
        cluster.call(controlNode, request, told -> responder.accept(change.of(request, told)));
  }

  /** What a stand-in makes of a real answer. */
  private interface Change {
    OperatorApi.Response of(OperatorApi.Request request, OperatorApi.Response told);
  }

  private static OperatorApi.Response says(final int status) {
    return new OperatorApi.Response(status, "{}", null);
  }

  /** Refuses by its own state, as long as it believes that it leads. */
  static ConcurrentOperators.Gate refusesFromStaleState(final SimulatedCluster cluster) {
    return (controlNode, request, responder) -> {
      if (!cluster.network.host(controlNode).up()) {
        return;
      }
      final String[] page = new String[1];
      ((ControlNode) cluster.nodes.get(controlNode))
          .operatorApi()
          .handle(
              new OperatorApi.Request("GET", "/-/outlook/show", null, new byte[0]),
              told -> page[0] = told.json());
      final boolean leads = page[0].contains("\"Leads\":true");
      final String version = page[0].replaceAll(".*\"Ver\":([0-9]+).*", "$1");
      final boolean order = request.method().equals("POST") && request.path().contains("config");
      if (leads && order && Long.parseLong(version) < Long.parseLong(request.baseVersion())) {
        responder.accept(says(412));
      } else {
        cluster.call(controlNode, request, responder);
      }
    };
  }

  /** Knows by the base alone: a repeat of what was taken looks like any order on an old base. */
  static ConcurrentOperators.Gate refusesWhatWasTaken(final SimulatedCluster cluster) {
    final Set<String> taken = new HashSet<>();
    return changed(
        cluster,
        (request, told) ->
            told.status() == 200
                    && request.method().equals("POST")
                    && !taken.add(request.baseVersion() + new String(request.body()))
                ? says(412)
                : told);
  }

  /**
   * Knows what was taken by its number alone: the other of a pair with one number is taken for its
   * repeat.
   */
  static ConcurrentOperators.Gate acknowledgesBothOfAPair(final SimulatedCluster cluster) {
    final Set<String> taken = new HashSet<>();
    return changed(
        cluster,
        (request, told) -> {
          final String pair =
              request.baseVersion()
                  + new String(request.body()).replaceAll(".*\"Ver\":([0-9]+).*", " $1");
          if (told.status() == 200) {
            taken.add(pair);
          }
          return told.status() == 412 && taken.contains(pair) ? says(200) : told;
        });
  }

  /** Answers one status in the place of another, to what is asked of machines. */
  static Function<SimulatedCluster, ConcurrentOperators.Gate> ofMachines(
      final int real, final int instead) {
    return cluster ->
        changed(
            cluster,
            (request, told) ->
                told.status() == real && request.path().contains("retire") ? says(instead) : told);
  }
}
