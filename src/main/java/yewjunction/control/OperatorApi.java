package yewjunction.control;

import static yewjunction.common.ErrorCode.CONFIG_FIELD;
import static yewjunction.common.ErrorCode.CONFIG_VERSION;
import static yewjunction.limits.OperatorLimits.CALL_BYTES_PER_EXTRA_MS;
import static yewjunction.limits.OperatorLimits.CALL_TIMEOUT_MS;
import static yewjunction.limits.OperatorLimits.MAX_CONFIGURATION_BYTES;

import com.typesafe.config.ConfigRenderOptions;
import com.typesafe.config.ConfigValueFactory;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;
import yewjunction.common.AgentContext;
import yewjunction.common.LogEvent;
import yewjunction.raft.RaftNode;
import yewjunction.raft.TaskExecutor;

/**
 * The operator's calls, described in docs/operating.md. Any node answers what it knows itself; all
 * else is answered by the leader, and by its state only after a majority has confirmed, since the
 * call came, that it still leads.
 *
 * <p>Errors are JSON with {@code Err} (a code that never changes) and {@code Text}. 307 names the
 * leader; 503 means that the same call may be sent again, here or elsewhere.
 *
 * <p>All calls and responses on the agent's thread.
 */
public final class OperatorApi {
  private final ControlStateMachine stateMachine;
  private final RaftNode raftNode;
  private final NodeRegistry registry;
  private final FormerRetentions formerRetentions;
  private final ClusterStatus status;
  private final ChangeQueue changeQueue;

  /** What goes back: an HTTP status, a JSON body, and the leader's address with a 307. */
  public record Response(int status, String json, String leaderAddress) {
    static Response of(final int status, final String json) {
      return new Response(status, json, null);
    }

    static Response error(final int status, final String code, final String text) {
      return of(status, "{\"Err\":" + quoted(code) + ",\"Text\":" + quoted(text) + "}");
    }

    /**
     * Neither accepted nor refused as far as is known: the caller may send the same again, here or
     * elsewhere.
     */
    static Response unclear(final String text) {
      return error(503, "UNCLEAR", text);
    }
  }

  /**
   * A call.
   *
   * @param baseVersion the header as HTTP joins it: "5, 5" when it came twice, null when it did not
   *     come
   */
  public record Request(String method, String path, String baseVersion, byte[] body) {
    /**
     * Milliseconds that its caller waits at most: more for larger bodies, which take longer to
     * parse.
     */
    public long callerTimeoutMs() {
      return CALL_TIMEOUT_MS + body.length / CALL_BYTES_PER_EXTRA_MS;
    }
  }

  OperatorApi(
      final AgentContext context,
      final ControlStateMachine stateMachine,
      final RaftNode raftNode,
      final NodeRegistry registry,
      final FormerRetentions formerRetentions,
      final ClusterStatus status) {
    changeQueue = new ChangeQueue(context, raftNode, this::notLeader);
    this.status = status;
    this.stateMachine = stateMachine;
    this.raftNode = raftNode;
    this.registry = registry;
    this.formerRetentions = formerRetentions;
  }

  /** Sets who parses bodies, one at a time, off the agent's thread; without one the agent does. */
  public void setExecutor(final TaskExecutor executor) {
    changeQueue.setExecutor(executor);
  }

  static String quoted(final String text) {
    return com.typesafe.config.ConfigUtil.quoteString(String.valueOf(text));
  }

  /** Handles one call. The responder is called once, now or on a later turn of the agent. */
  public void handle(final Request request, final Consumer<Response> responder) {
    final OperatorCall call = OperatorCall.of(request.path);
    final Response refusal = refusal(call, request);
    if (refusal != null) {
      responder.accept(refusal);
      return;
    }
    switch (call) {
      case SHOW_STATUS -> responder.accept(Response.of(200, status.statusJson()));
      case SHOW_ORDER_VIOLATIONS ->
          responder.accept(Response.of(200, status.orderViolationsJson()));
      default -> handleAtLeader(call, request, responder);
    }
  }

  /** The refusal of a call that no state could make right, null when there is none. */
  private static Response refusal(final OperatorCall call, final Request request) {
    if (call == null) {
      return Response.error(404, "PATH_UNKNOWN", request.path);
    }
    if (!call.method().equals(request.method)) {
      return Response.error(405, "METHOD_WRONG", "use " + call.method());
    }
    if (request.body.length > MAX_CONFIGURATION_BYTES) {
      return Response.error(413, "BODY_TOOBIG", "at most " + MAX_CONFIGURATION_BYTES + " bytes");
    }
    if (call.changesConfiguration() && !ConfigurationChange.isBaseVersion(request.baseVersion)) {
      return Response.error(400, CONFIG_FIELD.name(), "Base-Version: must be one whole number");
    }
    return null;
  }

  private void handleAtLeader(
      final OperatorCall call, final Request request, final Consumer<Response> responder) {
    if (!raftNode.isReadyLeader()) {
      responder.accept(notLeader());
      return;
    }
    switch (call) {
      case SHOW_CONFIGURATION -> respondWhenConfirmed(this::showConfiguration, responder);
      case REPLACE_CONFIGURATION, UPDATE_CONFIGURATION -> submitChange(call, request, responder);
      case SHOW_QUOTA -> {
        final String tenant = OperatorCall.nameIn(request.path);
        respondWhenConfirmed(() -> showQuota(tenant), responder);
      }
      case BEGIN_RETIREMENT -> {
        final String node = OperatorCall.nameIn(request.path);
        // In the queue of all changes: two retirements at once must not count on the same spare.
        changeQueue.submit(
            request.callerTimeoutMs(), null, () -> decideRetirement(node), responder);
      }
      case SHOW_RETIREMENT -> {
        final String node = OperatorCall.nameIn(request.path);
        respondWhenConfirmed(() -> showRetirement(node), responder);
      }
      default -> throw new IllegalStateException("no handler for " + call);
    }
  }

  private Response notLeader() {
    final String leader = raftNode.leader();
    if (leader == null || leader.equals(raftNode.identity())) {
      return Response.error(503, "NO_LEADER", "no majority yet, try again");
    }
    return new Response(307, "{}", RaftNode.addressOf(leader));
  }

  /** Responds by the state that is found after a majority has confirmed the leadership. */
  private void respondWhenConfirmed(
      final Supplier<Response> decider, final Consumer<Response> responder) {
    raftNode.confirmLeadership(held -> responder.accept(held ? decider.get() : notLeader()));
  }

  private Response showConfiguration() {
    return stateMachine.json() == null
        ? Response.error(404, "NO_CONFIG", "no configuration has been taken")
        : Response.of(200, stateMachine.json());
  }

  private void submitChange(
      final OperatorCall call, final Request request, final Consumer<Response> responder) {
    final Consumer<Response> loggingResponder =
        response -> {
          if (response.status >= 400 && response.status < 500) {
            LogEvent.CONFIGURATION_REJECTED.info(response.status + " " + response.json);
          }
          responder.accept(response);
        };
    final ConfigurationChange change =
        new ConfigurationChange(call, request.baseVersion, request.body);
    changeQueue.submit(
        request.callerTimeoutMs(), change::read, () -> decide(change), loggingResponder);
  }

  private static Response invalid(final ConfigurationException failure) {
    return Response.error(400, failure.code().name(), failure.getMessage());
  }

  private CallDecision decide(final ConfigurationChange change) {
    final Response accepted = Response.of(200, "{\"Ver\":" + change.version() + "}");
    // First of all: what was accepted is never refused, for whatever reason.
    if (stateMachine.wasAccepted(change.version(), change.digest())) {
      return CallDecision.finalResponse(accepted);
    }
    if (change.failure() != null) {
      return CallDecision.finalResponse(invalid(change.failure()));
    }
    if (change.raisesVersion() && stateMachine.mayHaveForgotten(change.version())) {
      return CallDecision.finalResponse(
          Response.unclear("too long ago to know whether it was taken"));
    }
    if (change.baseVersion != stateMachine.version()) {
      change.discardParsed();
      return CallDecision.needsConfirmation(
          Response.error(
              412, CONFIG_VERSION.name(), "version " + stateMachine.version() + " is current"));
    }
    if (!change.prepared()) {
      final Configuration current = stateMachine.parsedConfiguration();
      final String json = stateMachine.json();
      final List<FormerRetention> retentions = formerRetentions.unexpired();
      return CallDecision.backgroundWork(
          () ->
              change.prepare(
                  current != null || json == null ? current : Configuration.read(json),
                  retentions));
    }
    // The base was checked again after the preparation: another leader may have gone on meanwhile.
    return CallDecision.propose(
        change.command(), accepted, () -> stateMachine.cacheParsed(change.result()));
  }

  private CallDecision decideRetirement(final String node) {
    // Retirements are kept for good, so a repeat is known even when the machine is long gone.
    if (stateMachine.clusterState().retirementOf(node) != null) {
      return CallDecision.finalResponse(Response.of(200, "{}"));
    }
    if (!registry.storeReports().isKnown(node)) {
      return registry.storeReports().isCertainlyUnknown(node)
          ? CallDecision.needsConfirmation(nodeUnknown(node))
          : CallDecision.finalResponse(storesNotReported());
    }
    if (!registry.canSpare(node)) {
      return registry.storeReports().allStoresHaveReported()
          ? CallDecision.needsConfirmation(
              Response.error(409, "TOO_FEW", "too few store machines would be left"))
          : CallDecision.finalResponse(storesNotReported());
    }
    return CallDecision.propose(registry.retirementCommand(node), Response.of(200, "{}"), () -> {});
  }

  private static Response nodeUnknown(final String node) {
    return Response.error(404, "NODE_UNKNOWN", node);
  }

  /**
   * A leader knows stores by their reports: before they have reported, it can say nothing against a
   * call.
   */
  private static Response storesNotReported() {
    return Response.unclear("not all store machines have called yet, ask again");
  }

  /** A tenant's terms, and its account at each store; a tenant that was removed may still owe. */
  private Response showQuota(final String name) {
    final Configuration.Tenant tenant =
        stateMachine.currentConfiguration() == null
            ? null
            : stateMachine.currentConfiguration().tenant(name);
    final List<Map<String, Object>> rows = registry.storeReports().balanceRows(name);
    if (tenant == null && rows.isEmpty()) {
      return registry.storeReports().allStoresHaveReported()
          ? Response.error(404, "TENANT_UNKNOWN", name)
          : storesNotReported();
    }
    final Map<String, Object> page = new LinkedHashMap<>();
    page.put("Tenant", name);
    page.put("RatePerS", tenant == null ? 0 : tenant.ratePerSecond());
    page.put("Burst", tenant == null ? 0 : tenant.burst());
    page.put("BorrowMax", tenant == null ? 0 : tenant.borrowMax());
    page.put("RepayShare", tenant == null ? 0 : tenant.repayPpm() / 1e6);
    page.put("Vaults", rows);
    return Response.of(200, ConfigValueFactory.fromMap(page).render(ConfigRenderOptions.concise()));
  }

  private Response showRetirement(final String node) {
    final ClusterState.Retirement retiring = stateMachine.clusterState().retirementOf(node);
    if (retiring == null && !registry.storeReports().isKnown(node)) {
      return registry.storeReports().isCertainlyUnknown(node)
          ? nodeUnknown(node)
          : storesNotReported();
    }
    return Response.of(
        200, retiring != null && retiring.finished ? "{\"St\":\"finished\"}" : "{\"St\":\"up\"}");
  }
}
