package yewjunction.control;

import static yewjunction.common.ControlLimits.CALL_BYTES_PER_MS;
import static yewjunction.common.ErrorCode.CONFIG_FIELD;
import static yewjunction.common.ErrorCode.CONFIG_VERSION;
import static yewjunction.common.Limits.CALL_MS;
import static yewjunction.common.Limits.CONFIG_BYTES;

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

/** The operator's calls: one dispatch on method and path segments. All on the owner's thread. */
public final class OperatorApi {
  private final ControlStateMachine core;
  private final RaftNode ledger;
  private final NodeRegistry registrar;
  private final ClusterStatus outlook;
  private final ChangeQueue turns;

  /**
   * What goes back: a status, a JSON body, and the address of the leader when the call belongs
   * there.
   */
  public record Response(int status, String json, String leaderAddress) {
    static Response of(final int status, final String json) {
      return new Response(status, json, null);
    }

    static Response deny(final int status, final String code, final String text) {
      return of(status, "{\"Err\":" + quoted(code) + ",\"Text\":" + quoted(text) + "}");
    }

    /**
     * Neither taken nor refused as far as is known here: the caller asks again, here or elsewhere.
     */
    static Response unclear(final String text) {
      return deny(503, "UNCLEAR", text);
    }
  }

  /** Base: the header as HTTP joins it, "5, 5" when it came twice, null when it did not come. */
  public record Request(String method, String path, String base, byte[] body) {
    /**
     * How long its caller is thought to wait: longer for more routes, which take longer to read.
     */
    public long patienceMs() {
      return CALL_MS + body.length / CALL_BYTES_PER_MS;
    }
  }

  OperatorApi(
      final AgentContext pulse,
      final ControlStateMachine core,
      final RaftNode ledger,
      final NodeRegistry registrar,
      final ClusterStatus outlook) {
    turns = new ChangeQueue(pulse, ledger, this::elsewhere);
    this.outlook = outlook;
    this.core = core;
    this.ledger = ledger;
    this.registrar = registrar;
  }

  /**
   * Who reads large bodies, one at a time, beside the owner's thread; without one the owner does.
   */
  public void readBy(final TaskExecutor reader) {
    turns.readBy(reader);
  }

  static String quoted(final String text) {
    return com.typesafe.config.ConfigUtil.quoteString(String.valueOf(text));
  }

  /** Answers once, maybe later. */
  public void take(final Request request, final Consumer<Response> answer) {
    final String[] segments = request.path.split("/", -1);
    final String shape = shape(segments);
    final String wanted = shape == null ? null : shape.endsWith("show") ? "GET" : "POST";
    if (wanted == null) {
      answer.accept(Response.deny(404, "PATH_UNKNOWN", request.path));
    } else if (!wanted.equals(request.method)) {
      answer.accept(Response.deny(405, "METHOD_WRONG", "use " + wanted));
    } else if (request.body.length > CONFIG_BYTES) {
      answer.accept(Response.deny(413, "BODY_TOOBIG", "at most " + CONFIG_BYTES + " bytes"));
    } else if (shape.equals("outlook show")) {
      answer.accept(Response.of(200, outlook.json()));
    } else if (shape.equals("order show")) {
      answer.accept(Response.of(200, outlook.order()));
    } else if (shape.startsWith("config")
        && !wanted.equals("GET")
        && !ConfigurationChange.basedOnOne(request.base)) {
      answer.accept(
          Response.deny(400, CONFIG_FIELD.name(), "Base-Version: must be one whole number"));
    } else if (!ledger.leads()) {
      answer.accept(elsewhere());
    } else {
      switch (shape) {
        case "config show" -> tellConfirmed(this::show, answer);
        case "config replace", "config update" -> change(request, shape, answer);
        case "quota show" -> tellConfirmed(() -> quotaShow(segments[3]), answer);
        // In turn with all changes: two that begin at once must not both count on the same spare.
        case "retire begin" ->
            turns.take(request.patienceMs(), null, () -> retire(segments[3]), answer);
        default -> tellConfirmed(() -> retireShow(segments[3]), answer);
      }
    }
  }

  private static String shape(final String[] segments) {
    if (segments.length == 4 && segments[1].equals("-") && segments[2].equals("config")) {
      return switch (segments[3]) {
        case "replace", "update", "show" -> "config " + segments[3];
        default -> null;
      };
    }
    if (segments.length == 4
        && segments[1].equals("-")
        && segments[3].equals("show")
        && (segments[2].equals("outlook") || segments[2].equals("order"))) {
      return segments[2] + " show";
    }
    if (segments.length == 5
        && segments[1].equals("-")
        && segments[2].equals("quota")
        && segments[4].equals("show")) {
      return "quota show";
    }
    if (segments.length == 5 && segments[1].equals("-") && segments[2].equals("retire")) {
      return switch (segments[4]) {
        case "begin", "show" -> "retire " + segments[4];
        default -> null;
      };
    }
    return null;
  }

  private Response elsewhere() {
    final String leader = ledger.leader();
    if (leader == null || leader.equals(ledger.identity())) {
      return Response.deny(503, "NO_LEADER", "no majority yet, try again");
    }
    return new Response(307, "{}", RaftNode.address(leader));
  }

  /**
   * Told once a majority has confirmed, after the call came, that this member leads: by what its
   * state is then.
   */
  private void tellConfirmed(final Supplier<Response> look, final Consumer<Response> answer) {
    ledger.confirm(held -> answer.accept(held ? look.get() : elsewhere()));
  }

  private Response show() {
    return core.json() == null
        ? Response.deny(404, "NO_CONFIG", "no configuration has been taken")
        : Response.of(200, core.json());
  }

  private void change(final Request request, final String shape, final Consumer<Response> answer) {
    final Consumer<Response> noting =
        one -> {
          if (one.status >= 400 && one.status < 500) {
            LogEvent.CONFIG_DENIED.info(one.status + " " + one.json);
          }
          answer.accept(one);
        };
    final ConfigurationChange order = new ConfigurationChange(shape, request.base, request.body);
    turns.take(request.patienceMs(), order::read, () -> look(order), noting);
  }

  private static Response invalid(final ConfigurationException defect) {
    return Response.deny(400, defect.code().name(), defect.getMessage());
  }

  private CallDecision look(final ConfigurationChange order) {
    final Response taken = Response.of(200, "{\"Ver\":" + order.version() + "}");
    // First of all: what was taken is never refused, for whatever reason.
    if (core.taken(order.version(), order.digest())) {
      return CallDecision.lasting(taken);
    }
    if (order.defect() != null) {
      return CallDecision.lasting(invalid(order.defect()));
    }
    if (order.rises() && core.forgot(order.version())) {
      return CallDecision.lasting(Response.unclear("too long ago to know whether it was taken"));
    }
    if (order.base != core.version()) {
      order.release();
      return CallDecision.fact(
          Response.deny(412, CONFIG_VERSION.name(), "version " + core.version() + " is current"));
    }
    if (!order.prepared()) {
      final Configuration current = core.parsed();
      final String json = core.json();
      return CallDecision.beside(
          () ->
              order.prepare(current != null || json == null ? current : Configuration.read(json)));
    }
    // Looked at anew after that: another leader may have gone on meanwhile, and what builds on an
    // old base must not be proposed.
    return CallDecision.agree(order.deed(), taken, () -> core.adopt(order.next()));
  }

  private CallDecision retire(final String node) {
    // Kept for good, so its repeat is known also when the machine is long gone.
    if (core.facts().retiring(node) != null) {
      return CallDecision.lasting(Response.of(200, "{}"));
    }
    if (!registrar.knows(node)) {
      return registrar.unknown(node)
          ? CallDecision.fact(nodeUnknown(node))
          : CallDecision.lasting(unheard());
    }
    if (!registrar.spares(node)) {
      return registrar.settled()
          ? CallDecision.fact(Response.deny(409, "TOO_FEW", "too few store machines would be left"))
          : CallDecision.lasting(unheard());
    }
    return CallDecision.agree(registrar.retirement(node), Response.of(200, "{}"), () -> {});
  }

  private static Response nodeUnknown(final String node) {
    return Response.deny(404, "NODE_UNKNOWN", node);
  }

  /**
   * A leader knows the store machines by their calls: before they have called it knows nothing
   * against an order.
   */
  private static Response unheard() {
    return Response.unclear("not all store machines have called yet, ask again");
  }

  /**
   * A tenant's terms, and its account at each vault; one that is gone from the configuration may
   * still owe.
   */
  private Response quotaShow(final String name) {
    final Configuration.Tenant tenant = core.current() == null ? null : core.current().tenant(name);
    final List<Map<String, Object>> rows = registrar.balanceRows(name);
    if (tenant == null && rows.isEmpty()) {
      return registrar.settled() ? Response.deny(404, "TENANT_UNKNOWN", name) : unheard();
    }
    final Map<String, Object> page = new LinkedHashMap<>();
    page.put("Tenant", name);
    page.put("RatePerS", tenant == null ? 0 : tenant.perSecond());
    page.put("Burst", tenant == null ? 0 : tenant.burst());
    page.put("BorrowMax", tenant == null ? 0 : tenant.borrowMax());
    page.put("RepayShare", tenant == null ? 0 : tenant.repayPpm() / 1e6);
    page.put("Vaults", rows);
    return Response.of(200, ConfigValueFactory.fromMap(page).render(ConfigRenderOptions.concise()));
  }

  private Response retireShow(final String node) {
    final ClusterState.Retirement retiring = core.facts().retiring(node);
    if (retiring == null && !registrar.knows(node)) {
      return registrar.unknown(node) ? nodeUnknown(node) : unheard();
    }
    return Response.of(
        200, retiring != null && retiring.finished ? "{\"St\":\"finished\"}" : "{\"St\":\"up\"}");
  }
}
