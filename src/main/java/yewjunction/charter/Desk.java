package yewjunction.charter;

import com.typesafe.config.Config;
import com.typesafe.config.ConfigRenderOptions;
import com.typesafe.config.ConfigValueFactory;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayDeque;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import yewjunction.base.Defect;
import yewjunction.base.Event;
import yewjunction.ledger.Ledger;

import static yewjunction.base.Defect.Code.CONFIG_FIELD;
import static yewjunction.base.Defect.Code.CONFIG_VERSION;
import static yewjunction.base.Limits.CONFIG_BYTES;

/** The operator's calls: one dispatch on method and path segments. All on the owner's thread. */
public final class Desk {
    private final Core core;
    private final Ledger ledger;
    private final Registrar registrar;
    private final Outlook outlook;
    private final ArrayDeque<Runnable> queue = new ArrayDeque<>();
    private boolean busy;

    /** What goes back: a status, a JSON body, and the address of the leader when the call belongs there. */
    public record Answer(int status, String json, String leaderAddress) {
        static Answer of(final int status, final String json) {
            return new Answer(status, json, null);
        }

        static Answer deny(final int status, final String code, final String text) {
            return of(status, "{\"Err\":" + quoted(code) + ",\"Text\":" + quoted(text) + "}");
        }
    }

    public record Request(String method, String path, String base, byte[] body) {
    }

    Desk(final Core core, final Ledger ledger, final Registrar registrar, final Outlook outlook) {
        this.outlook = outlook;
        this.core = core;
        this.ledger = ledger;
        this.registrar = registrar;
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
        } else if (!ledger.leads()) {
            answer.accept(elsewhere());
        } else {
            switch (shape) {
                case "config show" -> show(answer);
                case "config replace", "config update" -> inTurn(() -> change(request, shape, answer));
                case "quota show" -> quotaShow(segments[3], answer);
                case "retire begin" -> retire(segments[3], answer);
                default -> retireShow(segments[3], answer);
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

    private void show(final Consumer<Answer> answer) {
        // Only a leader that a majority confirms knows the newest version.
        ledger.confirm(held -> answer.accept(!held ? elsewhere()
            : core.json() == null ? Answer.deny(404, "NO_CONFIG", "no configuration has been taken")
            : Answer.of(200, core.json())));
    }

    /** One change at a time, so that each is checked against the one before. */
    private void inTurn(final Runnable work) {
        queue.add(work);
        if (!busy) {
            nextInTurn();
        }
    }

    private void nextInTurn() {
        final Runnable work = queue.poll();
        busy = work != null;
        if (busy) {
            work.run();
        }
    }

    private void change(final Request request, final String shape, final Consumer<Answer> answer) {
        final Answer refusal = tryChange(request, shape, answer);
        if (refusal != null) {
            if (refusal.status != 200 && refusal.status != 307) {
                Event.CONFIG_DENIED.info(refusal.status + " " + refusal.json);
            }
            answer.accept(refusal);
            nextInTurn();
        }
    }

    /** The answer when it is known at once, or null when the change has gone to the ledger. */
    private Answer tryChange(final Request request, final String shape, final Consumer<Answer> answer) {
        if (!ledger.leads()) {
            return elsewhere();
        }
        final Deed deed = new Deed(Deed.CONFIG);
        try {
            deed.base = Long.parseLong(String.valueOf(request.base).trim());
        } catch (final NumberFormatException defect) {
            return Answer.deny(400, CONFIG_FIELD.name(), "Base-Version: must be a whole number");
        }
        try {
            final Config sent = Charter.parse(new String(request.body, StandardCharsets.UTF_8));
            deed.digest = digest(shape + " " + deed.base + " " + Charter.render(sent));
            if (sent.hasPath("Ver") && core.taken(sent.getLong("Ver"), deed.digest)) {
                return Answer.of(200, "{\"Ver\":" + sent.getLong("Ver") + "}");
            }
            if (deed.base != core.version()) {
                return Answer.deny(412, CONFIG_VERSION.name(), "version " + core.version() + " is current");
            }
            final Charter next = shape.equals("config replace") ? Charter.of(sent) : updated(sent);
            if (next.version() <= core.version()) {
                return Answer.deny(400, CONFIG_VERSION.name(), "Ver: must be above " + core.version());
            }
            deed.json = next.json();
            deed.version = next.version();
            Patches.add(deed, core.current(), next);
            final boolean taken = ledger.propose(Core.bytes(deed), done -> {
                answer.accept(done ? Answer.of(200, "{\"Ver\":" + next.version() + "}")
                    : Answer.deny(503, "NO_LEADER", "the leader changed, ask again"));
                nextInTurn();
            });
            return taken ? null : elsewhere();
        } catch (final Defect defect) {
            return Answer.deny(400, defect.code().name(), defect.getMessage());
        } catch (final com.typesafe.config.ConfigException defect) {
            return Answer.deny(400, CONFIG_FIELD.name(), defect.getMessage());
        }
    }

    private Charter updated(final Config update) {
        if (core.json() == null) {
            throw new Defect(CONFIG_VERSION, "there is no configuration to update");
        }
        if (!update.hasPath("Ver")) {
            throw new Defect(CONFIG_FIELD, "Ver: is missing");
        }
        return Charter.of(core.current().updated(update));
    }

    private static String digest(final String text) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8)));
        } catch (final NoSuchAlgorithmException defect) {
            throw new IllegalStateException(defect);
        }
    }

    private void retire(final String node, final Consumer<Answer> answer) {
        if (!registrar.knows(node)) {
            answer.accept(Answer.deny(404, "NODE_UNKNOWN", node));
        } else if (core.facts().retiring(node) != null) {
            answer.accept(Answer.of(200, "{}"));
        } else if (!registrar.spares(node)) {
            answer.accept(Answer.deny(409, "TOO_FEW", "too few store machines would be left"));
        } else if (!ledger.propose(Core.bytes(registrar.retirement(node)), done -> answer.accept(done
            ? Answer.of(200, "{}") : Answer.deny(503, "NO_LEADER", "the leader changed, ask again")))) {
            answer.accept(elsewhere());
        }
    }

    /** A tenant's terms, and its account at each vault; one that is gone from the configuration may still owe. */
    private void quotaShow(final String name, final Consumer<Answer> answer) {
        final Charter.Tenant tenant = core.current() == null ? null : core.current().tenant(name);
        final List<Map<String, Object>> rows = registrar.balanceRows(name);
        if (tenant == null && rows.isEmpty()) {
            answer.accept(Answer.deny(404, "TENANT_UNKNOWN", name));
            return;
        }
        final Map<String, Object> page = new LinkedHashMap<>();
        page.put("Tenant", name);
        page.put("RatePerS", tenant == null ? 0 : tenant.perSecond());
        page.put("Burst", tenant == null ? 0 : tenant.burst());
        page.put("BorrowMax", tenant == null ? 0 : tenant.borrowMax());
        page.put("RepayShare", tenant == null ? 0 : tenant.repayPpm() / 1e6);
        page.put("Vaults", rows);
        answer.accept(Answer.of(200, ConfigValueFactory.fromMap(page).render(ConfigRenderOptions.concise())));
    }

    private void retireShow(final String node, final Consumer<Answer> answer) {
        ledger.confirm(held -> {
            final Facts.Retiring retiring = core.facts().retiring(node);
            answer.accept(!held ? elsewhere()
                : retiring == null && !registrar.knows(node) ? Answer.deny(404, "NODE_UNKNOWN", node)
                : Answer.of(200, retiring != null && retiring.finished ? "{\"St\":\"finished\"}" : "{\"St\":\"up\"}"));
        });
    }
}
