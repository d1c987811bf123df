package yewjunction.system;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import yewjunction.charter.Desk;
import yewjunction.node.CruxNode;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static yewjunction.system.Register.NEVER;

/** What operators saw through the worst of days, against a plain register with compare-and-set. */
class HistorySimTest {
    private static final int SEEDS = 12;
    private Town town;

    /** Which gate stands before the cruxes of that town. */
    private interface Plant {
        Operators.Gate before(Town town);
    }

    private List<Register.Call> history(final long seed, final Plant plant) {
        town = new Town(seed);
        final Operators operators = new Operators(town, seed * 31, plant.before(town));
        final Orders orders = new Orders(town);
        final Random trouble = new Random(seed * 37);
        town.world.runFor(1_500);
        operators.begin();
        for (int round = 0; round < 8; round++) {
            town.world.runFor(500 + trouble.nextInt(1_500));
            final String leader = orders.leader();
            final String other = orders.others(leader).get(trouble.nextInt(2));
            switch (trouble.nextInt(6)) {
                case 0 -> town.kill(leader);
                case 1 -> town.powerOff(leader);
                case 2, 3 -> orders.cutOff(leader);
                case 4 -> town.world.cut(leader, other);
                default -> orders.cruxes.forEach(town::powerOff);
            }
            town.world.runFor(300 + trouble.nextInt(2_500));
            town.world.join();
            town.bootAll();
        }
        town.world.runFor(3_000);
        operators.quiet = true;
        town.world.runFor(2_000);
        return operators.history;
    }

    private static Operators.Gate real(final Town town) {
        return (crux, request, answer) -> Operators.ask(town, crux, request, answer);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void whatOperatorsSeeIsARegisters(final long seed) {
        final List<Register.Call> history = history(seed, HistorySimTest::real);
        final long taken = history.stream().filter(call -> call.change() != null && call.status() == 200).count();
        final long refused = history.stream().filter(call -> call.status() == 412).count();
        final long unclear = history.stream().filter(call -> call.status() == 0).count();
        assertTrue(taken > 20 && refused > 10 && unclear > 20, taken + " taken, " + refused + " refused, " + unclear + " unclear");
        final Register register = new Register(history);
        assertTrue(register.linearizes(), () -> "no order of " + history.size() + " calls after " + register.steps + " steps");
    }

    private void isFound(final Plant plant) {
        int found = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            found += new Register(history(seed, plant)).linearizes() ? 0 : 1;
        }
        assertTrue(found > 0, "found in none of " + SEEDS);
    }

    /** Refuses by its own state, as long as it believes that it leads. */
    @Test
    void aRefusalFromStaleStateIsFound() {
        isFound(in -> (crux, request, answer) -> {
            if (!in.world.host(crux).up()) {
                return;
            }
            final String[] page = new String[1];
            ((CruxNode) in.nodes.get(crux)).desk().take(new Desk.Request("GET", "/-/outlook/show", null, new byte[0]),
                told -> page[0] = told.json());
            final boolean leads = page[0].contains("\"Leads\":true");
            final String version = page[0].replaceAll(".*\"Ver\":([0-9]+).*", "$1");
            if (leads && request.method().equals("POST") && Long.parseLong(version) < Long.parseLong(request.base())) {
                answer.accept(new Desk.Answer(412, "{}", null));
            } else {
                Operators.ask(in, crux, request, answer);
            }
        });
    }

    /** Knows by the base alone: a repeat of what was taken looks like any order on an old base. */
    @Test
    void aRefusalOfWhatWasTakenIsFound() {
        final Set<String> taken = new HashSet<>();
        isFound(in -> (crux, request, answer) -> Operators.ask(in, crux, request, told -> {
            final boolean repeat = told.status() == 200 && request.method().equals("POST") && !taken.add(in + new String(request.body()));
            answer.accept(repeat ? new Desk.Answer(412, "{}", null) : told);
        }));
    }

    /** Knows what was taken by its number alone: the other of a pair with one number is taken for its repeat. */
    @Test
    void anAcknowledgementOfBothOfARacedPairIsFound() {
        final Map<String, Integer> taken = new HashMap<>();
        isFound(in -> (crux, request, answer) -> Operators.ask(in, crux, request, told -> {
            final String pair = in + request.base() + new String(request.body()).replaceAll(".*\"Ver\":([0-9]+).*", " $1");
            if (told.status() == 200) {
                taken.put(pair, 1);
            }
            answer.accept(told.status() == 412 && taken.containsKey(pair) ? new Desk.Answer(200, "{}", null) : told);
        }));
    }

    private static Register.Call order(final long base, final long version, final String change, final int status,
            final long calledMs, final long returnedMs) {
        return new Register.Call(base, version, change, "a", status, calledMs, returnedMs);
    }

    private static boolean possible(final Register.Call... calls) {
        return new Register(List.of(calls)).linearizes();
    }

    @Test
    void theSearchTellsPossibleFromImpossible() {
        assertTrue(possible(order(0, 1, "a", 0, 0, NEVER), order(0, 1, "a", 200, 5, 6), order(0, 0, null, 404, 0, 3), order(0, 1, null, 200, 8, 9)));
        // The other of two with one number.
        assertFalse(possible(order(0, 1, "b", 200, 1, 2), order(0, 1, null, 200, 3, 4)));
        // Not read although acknowledged before; read although another was taken; refused although nothing came between.
        assertFalse(possible(order(0, 1, "a", 200, 1, 2), order(0, 0, null, 404, 3, 4)));
        assertFalse(possible(order(0, 1, "a", 200, 1, 2), order(0, 2, "b", 200, 1, 4)));
        assertFalse(possible(order(0, 1, "a", 412, 1, 2)));
        assertFalse(possible(order(0, 1, "a", 200, 1, 2), order(0, 1, "a", 412, 3, 4)));
        // A call without an answer may have taken effect, at any later time, once, or never.
        assertTrue(possible(order(0, 1, "a", 0, 1, NEVER), order(0, 0, null, 404, 3, 4), order(0, 1, null, 200, 5, 6), order(1, 2, "b", 200, 7, 8)));
        assertFalse(possible(order(0, 1, "a", 0, 1, NEVER), order(0, 1, null, 200, 3, 4), order(0, 0, null, 404, 5, 6)));
        assertTrue(possible(order(0, 1, "a", 0, 1, NEVER), order(0, 2, "b", 200, 3, 4)));
        assertEquals(0, new Register(List.of()).steps);
    }
}
