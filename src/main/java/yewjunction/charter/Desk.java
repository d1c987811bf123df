package yewjunction.charter;

import com.typesafe.config.ConfigRenderOptions;
import com.typesafe.config.ConfigValueFactory;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;
import yewjunction.base.Defect;
import yewjunction.base.Event;
import yewjunction.base.Pulse;
import yewjunction.ledger.Clerk;
import yewjunction.ledger.Ledger;

import static yewjunction.base.Defect.Code.CONFIG_FIELD;
import static yewjunction.base.Defect.Code.CONFIG_VERSION;
import static yewjunction.base.ControlLimits.CALL_BYTES_PER_MS;
import static yewjunction.base.Limits.CALL_MS;
import static yewjunction.base.Limits.CONFIG_BYTES;

/** The operator's calls: one dispatch on method and path segments. All on the owner's thread. */
public final class Desk {
    private final Core core;
    private final Ledger ledger;
    private final Registrar registrar;
    private final Outlook outlook;
    private final Turns turns;

    /** What goes back: a status, a JSON body, and the address of the leader when the call belongs there. */
    public record Answer(int status, String json, String leaderAddress) {
        static Answer of(final int status, final String json) {
            return new Answer(status, json, null);
        }

        static Answer deny(final int status, final String code, final String text) {
            return of(status, "{\"Err\":" + quoted(code) + ",\"Text\":" + quoted(text) + "}");
        }

        /** Neither taken nor refused as far as is known here: the caller asks again, here or elsewhere. */
        static Answer unclear(final String text) {
            return deny(503, "UNCLEAR", text);
        }
    }

    /** Base: the header as HTTP joins it, "5, 5" when it came twice, null when it did not come. */
    public record Request(String method, String path, String base, byte[] body) {
        /** How long its caller is thought to wait: longer for more routes, which take longer to read. */
        public long patienceMs() {
            return CALL_MS + body.length / CALL_BYTES_PER_MS;
        }
    }

    Desk(final Pulse pulse, final Core core, final Ledger ledger, final Registrar registrar, final Outlook outlook) {
        turns = new Turns(pulse, ledger, this::elsewhere);
        this.outlook = outlook;
        this.core = core;
        this.ledger = ledger;
        this.registrar = registrar;
    }

    /** Who reads large bodies, one at a time, beside the owner's thread; without one the owner does. */
    public void readBy(final Clerk reader) {
        turns.readBy(reader);
    }

    static String quoted(final String text) {
        return com.typesafe.config.ConfigUtil.quoteString(String.valueOf(text));
    }

    /** Answers once, maybe later. */
    public void take(final Request request, final Consumer<Answer> answer) {
        final String[] segments = request.path.split("/", -1);
        final String shape = shape(segments);
        final String wanted = shape == null ? null : shape.endsWith("show") ? "GET" : "POST";
        if (wanted == null) {
            answer.accept(Answer.deny(404, "PATH_UNKNOWN", request.path));
        } else if (!wanted.equals(request.method)) {
            answer.accept(Answer.deny(405, "METHOD_WRONG", "use " + wanted));
        } else if (request.body.length > CONFIG_BYTES) {
            answer.accept(Answer.deny(413, "BODY_TOOBIG", "at most " + CONFIG_BYTES + " bytes"));
        } else if (shape.equals("outlook show")) {
            answer.accept(Answer.of(200, outlook.json()));
        } else if (shape.equals("order show")) {
            answer.accept(Answer.of(200, outlook.order()));
        } else if (shape.startsWith("config") && !wanted.equals("GET") && !Order.basedOnOne(request.base)) {
            answer.accept(Answer.deny(400, CONFIG_FIELD.name(), "Base-Version: must be one whole number"));
        } else if (!ledger.leads()) {
            answer.accept(elsewhere());
        } else {
            switch (shape) {
                case "config show" -> tellConfirmed(this::show, answer);
                case "config replace", "config update" -> change(request, shape, answer);
                case "quota show" -> tellConfirmed(() -> quotaShow(segments[3]), answer);
                // In turn with all changes: two that begin at once must not both count on the same spare.
                case "retire begin" -> turns.take(request.patienceMs(), null, () -> retire(segments[3]), answer);
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
        if (segments.length == 4 && segments[1].equals("-") && segments[3].equals("show")
            && (segments[2].equals("outlook") || segments[2].equals("order"))) {
            return segments[2] + " show";
        }
        if (segments.length == 5 && segments[1].equals("-") && segments[2].equals("quota") && segments[4].equals("show")) {
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

    private Answer elsewhere() {
        final String leader = ledger.leader();
        if (leader == null || leader.equals(ledger.identity())) {
            return Answer.deny(503, "NO_LEADER", "no majority yet, try again");
        }
        return new Answer(307, "{}", Ledger.address(leader));
    }

    /** Told once a majority has confirmed, after the call came, that this member leads: by what its state is then. */
    private void tellConfirmed(final Supplier<Answer> look, final Consumer<Answer> answer) {
        ledger.confirm(held -> answer.accept(held ? look.get() : elsewhere()));
    }

    private Answer show() {
        return core.json() == null ? Answer.deny(404, "NO_CONFIG", "no configuration has been taken") : Answer.of(200, core.json());
    }

    private void change(final Request request, final String shape, final Consumer<Answer> answer) {
        final Consumer<Answer> noting = one -> {
            if (one.status >= 400 && one.status < 500) {
                Event.CONFIG_DENIED.info(one.status + " " + one.json);
            }
            answer.accept(one);
        };
        final Order order = new Order(shape, request.base, request.body);
        turns.take(request.patienceMs(), order::read, () -> look(order), noting);
    }

    private static Answer invalid(final Defect defect) {
        return Answer.deny(400, defect.code().name(), defect.getMessage());
    }

    private Verdict look(final Order order) {
        final Answer taken = Answer.of(200, "{\"Ver\":" + order.version() + "}");
        // First of all: what was taken is never refused, for whatever reason.
        if (core.taken(order.version(), order.digest())) {
            return Verdict.lasting(taken);
        }
        if (order.defect() != null) {
            return Verdict.lasting(invalid(order.defect()));
        }
        if (order.rises() && core.forgot(order.version())) {
            return Verdict.lasting(Answer.unclear("too long ago to know whether it was taken"));
        }
        if (order.base != core.version()) {
            order.release();
            return Verdict.fact(Answer.deny(412, CONFIG_VERSION.name(), "version " + core.version() + " is current"));
        }
        if (!order.prepared()) {
            final Charter current = core.parsed();
            final String json = core.json();
            return Verdict.beside(() -> order.prepare(current != null || json == null ? current : Charter.read(json)));
        }
        // Looked at anew after that: another leader may have gone on meanwhile, and what builds on an old base must not be proposed.
        return Verdict.agree(order.deed(), taken, () -> core.adopt(order.next()));
    }

    private Verdict retire(final String node) {
        // Kept for good, so its repeat is known also when the machine is long gone.
        if (core.facts().retiring(node) != null) {
            return Verdict.lasting(Answer.of(200, "{}"));
        }
        if (!registrar.knows(node)) {
            return registrar.unknown(node) ? Verdict.fact(nodeUnknown(node)) : Verdict.lasting(unheard());
        }
        if (!registrar.spares(node)) {
            return registrar.settled() ? Verdict.fact(Answer.deny(409, "TOO_FEW", "too few store machines would be left"))
                : Verdict.lasting(unheard());
        }
        return Verdict.agree(registrar.retirement(node), Answer.of(200, "{}"), () -> { });
    }

    private static Answer nodeUnknown(final String node) {
        return Answer.deny(404, "NODE_UNKNOWN", node);
    }

    /** A leader knows the store machines by their calls: before they have called it knows nothing against an order. */
    private static Answer unheard() {
        return Answer.unclear("not all store machines have called yet, ask again");
    }

    /** A tenant's terms, and its account at each vault; one that is gone from the configuration may still owe. */
    private Answer quotaShow(final String name) {
        final Charter.Tenant tenant = core.current() == null ? null : core.current().tenant(name);
        final List<Map<String, Object>> rows = registrar.balanceRows(name);
        if (tenant == null && rows.isEmpty()) {
            return registrar.settled() ? Answer.deny(404, "TENANT_UNKNOWN", name) : unheard();
        }
        final Map<String, Object> page = new LinkedHashMap<>();
        page.put("Tenant", name);
        page.put("RatePerS", tenant == null ? 0 : tenant.perSecond());
        page.put("Burst", tenant == null ? 0 : tenant.burst());
        page.put("BorrowMax", tenant == null ? 0 : tenant.borrowMax());
        page.put("RepayShare", tenant == null ? 0 : tenant.repayPpm() / 1e6);
        page.put("Vaults", rows);
        return Answer.of(200, ConfigValueFactory.fromMap(page).render(ConfigRenderOptions.concise()));
    }

    private Answer retireShow(final String node) {
        final Facts.Retiring retiring = core.facts().retiring(node);
        if (retiring == null && !registrar.knows(node)) {
            return registrar.unknown(node) ? nodeUnknown(node) : unheard();
        }
        return Answer.of(200, retiring != null && retiring.finished ? "{\"St\":\"finished\"}" : "{\"St\":\"up\"}");
    }
}
