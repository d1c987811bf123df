package yewjunction.system;

import java.util.HashSet;
import java.util.Set;
import java.util.function.Function;
import yewjunction.charter.Desk;
import yewjunction.node.CruxNode;

/** Desks with a fault, for the tests that are to find it. */
final class StandIns {
    private StandIns() {
    }

    static Operators.Gate real(final Town town) {
        return (crux, request, answer) -> Operators.ask(town, crux, request, answer);
    }

    private static Operators.Gate changed(final Town town, final Change change) {
        return (crux, request, answer) -> Operators.ask(town, crux, request, told -> answer.accept(change.of(request, told)));
    }

    /** What a stand-in makes of a real answer. */
    private interface Change {
        Desk.Answer of(Desk.Request request, Desk.Answer told);
    }

    private static Desk.Answer says(final int status) {
        return new Desk.Answer(status, "{}", null);
    }

    /** Refuses by its own state, as long as it believes that it leads. */
    static Operators.Gate refusesFromStaleState(final Town town) {
        return (crux, request, answer) -> {
            if (!town.world.host(crux).up()) {
                return;
            }
            final String[] page = new String[1];
            ((CruxNode) town.nodes.get(crux)).desk().take(new Desk.Request("GET", "/-/outlook/show", null, new byte[0]),
                told -> page[0] = told.json());
            final boolean leads = page[0].contains("\"Leads\":true");
            final String version = page[0].replaceAll(".*\"Ver\":([0-9]+).*", "$1");
            final boolean order = request.method().equals("POST") && request.path().contains("config");
            if (leads && order && Long.parseLong(version) < Long.parseLong(request.base())) {
                answer.accept(says(412));
            } else {
                Operators.ask(town, crux, request, answer);
            }
        };
    }

    /** Knows by the base alone: a repeat of what was taken looks like any order on an old base. */
    static Operators.Gate refusesWhatWasTaken(final Town town) {
        final Set<String> taken = new HashSet<>();
        return changed(town, (request, told) -> told.status() == 200 && request.method().equals("POST")
            && !taken.add(request.base() + new String(request.body())) ? says(412) : told);
    }

    /** Knows what was taken by its number alone: the other of a pair with one number is taken for its repeat. */
    static Operators.Gate acknowledgesBothOfAPair(final Town town) {
        final Set<String> taken = new HashSet<>();
        return changed(town, (request, told) -> {
            final String pair = request.base() + new String(request.body()).replaceAll(".*\"Ver\":([0-9]+).*", " $1");
            if (told.status() == 200) {
                taken.add(pair);
            }
            return told.status() == 412 && taken.contains(pair) ? says(200) : told;
        });
    }

    /** Answers one status in the place of another, to what is asked of machines. */
    static Function<Town, Operators.Gate> ofMachines(final int real, final int instead) {
        return town -> changed(town, (request, told) -> told.status() == real && request.path().contains("retire") ? says(instead) : told);
    }
}
