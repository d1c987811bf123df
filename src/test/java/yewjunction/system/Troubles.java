package yewjunction.system;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import yewjunction.node.VaultNode;
import yewjunction.settings.Settings;
import yewjunction.sim.Host;

/**
 * Troubles drawn from a seed. One machine of the core or of the stores is lost at a time, and counts as lost until SyncS
 * after it is back; edges go in any number, and now and then everything goes at once with its disks kept.
 */
final class Troubles {
    /** ms; for so long a machine that came back still counts as lost. */
    static final long SYNC_MS = 4_000;
    /** What was done when: with the seed, all that is needed to look at a failing world. */
    final List<String> plan = new ArrayList<>();
    private final Town town;
    private final Judge judge;
    private final Random draw;
    private int machines = 100;
    private int edgesUnderWay;
    boolean quiet;

    Troubles(final Town town, final Judge judge, final long seed) {
        this.town = town;
        this.judge = judge;
        draw = new Random(seed * 7_919);
        edge();
    }

    private void note(final String what) {
        plan.add(town.world.nowMs() + " " + what);
    }

    private static String machine(final String address) {
        return address.substring(0, address.indexOf(':'));
    }

    /** Processes on a machine. */
    private List<String> on(final String machine) {
        return town.nodes.keySet().stream().filter(address -> machine(address).equals(machine)).toList();
    }

    private List<Host> hosts(final String machine) {
        return on(machine).stream().map(town.world::host).toList();
    }

    private List<String> core() {
        return town.nodes.keySet().stream().filter(address -> !machine(address).endsWith(".2")).map(Troubles::machine).distinct().toList();
    }

    /** Whoever leads the vaults, or the first of them. */
    String leader() {
        return town.all("vault").stream().filter(vault -> town.world.host(vault).up() && ((VaultNode) town.nodes.get(vault)).leads())
            .findFirst().orElse(town.all("vault").get(0));
    }

    private long span(final int leastMs, final int mostMs) {
        return leastMs + draw.nextInt(mostMs - leastMs);
    }

    private void back() {
        town.bootAll();
    }

    // --- edges without a disk: in any number, at any moment ---

    private void edge() {
        town.world.after(span(600, 3_500), () -> {
            if (!quiet && edgesUnderWay < 2) {
                strikeEdge(town.all("tide").stream().filter(tide -> machine(tide).endsWith(".2")).toList().get(draw.nextInt(3)));
            }
            edge();
        });
    }

    private void strikeEdge(final String tide) {
        final Host host = town.world.host(tide);
        if (!host.up() || host.frozen()) {
            return;
        }
        final long forMs = span(200, 4_000);
        final int kind = draw.nextInt(6);
        note("edge " + tide + " " + List.of("kill", "power", "stop", "freeze", "links reset", "clients reset").get(kind) + " " + forMs);
        switch (kind) {
            case 0 -> town.kill(tide);
            case 1 -> town.powerOff(tide);
            case 2 -> town.stop(tide);
            case 3 -> host.freeze();
            case 4 -> host.resetLinks();
            default -> town.customers.forEach(Customer::cut);
        }
        edgesUnderWay++;
        town.world.after(forMs, () -> {
            edgesUnderWay--;
            host.thaw();
            if (!host.up()) {
                town.boot(tide, false);
            }
        });
    }

    // --- machines with a disk: one at a time ---

    /** Strikes once, and returns when nothing counts as lost any more. */
    void next() {
        final List<String> core = core();
        final String machine = core.get(draw.nextInt(core.size()));
        final String victim = draw.nextInt(3) == 0 ? machine(leader()) : machine;
        final long forMs = span(300, 6_000);
        final int kind = draw.nextInt(16);
        switch (kind) {
            case 0 -> {
                note("kill " + victim + " " + forMs);
                on(victim).forEach(town::kill);
                lost(forMs);
            }
            case 1 -> {
                note("power " + victim + " " + forMs);
                on(victim).forEach(town::powerOff);
                lost(forMs);
            }
            case 2 -> {
                note("wipe " + victim + " " + forMs);
                wipe(victim);
                lost(forMs);
            }
            case 3, 4 -> replace(victim);
            case 5, 6 -> replacePlanned(draw.nextBoolean() ? machine(leader()) : victim);
            case 7 -> {
                note("freeze " + victim + " " + forMs);
                hosts(victim).forEach(Host::freeze);
                town.world.runFor(forMs);
                hosts(victim).forEach(Host::thaw);
                lost(0);
            }
            case 8, 9 -> cut(victim, forMs);
            case 10 -> {
                final int times = 1 + draw.nextInt(5);
                note("links reset " + victim + " " + times);
                for (int time = 0; time < times; time++) {
                    hosts(victim).forEach(Host::resetLinks);
                    town.world.runFor(span(50, 600));
                }
            }
            case 11 -> {
                final long micros = 1_000 * span(10, 120);
                note("slow disk " + victim + " " + micros + " us " + forMs);
                hosts(victim).forEach(host -> host.syncMicros = micros);
                town.world.runFor(forMs);
                hosts(victim).forEach(host -> host.syncMicros = 2_000);
                lost(0);
            }
            case 12 -> {
                note("disk stalls " + victim + " " + forMs);
                hosts(victim).forEach(host -> host.stallDisk(forMs));
                lost(forMs);
            }
            case 13 -> herd(draw.nextBoolean(), draw.nextBoolean());
            case 14 -> afterAck(draw.nextBoolean());
            default -> retireOrAdd();
        }
        town.world.runFor(span(0, 1_500));
    }

    private void lost(final long forMs) {
        town.world.runFor(forMs);
        back();
        town.world.runFor(SYNC_MS);
    }

    private void wipe(final String machine) {
        on(machine).forEach(town::powerOff);
        hosts(machine).forEach(Host::wipe);
    }

    private void cut(final String victim, final long forMs) {
        final boolean fromCoreOnly = draw.nextBoolean();
        final int ways = draw.nextInt(3);
        note("cut " + victim + (fromCoreOnly ? " from the core" : "") + " " + List.of("both ways", "out", "in").get(ways) + " " + forMs);
        for (final String other : fromCoreOnly ? core() : town.nodes.keySet().stream().map(Troubles::machine).distinct().toList()) {
            if (!other.equals(victim) && ways != 2) {
                town.world.cutOneWay(victim + ":", other + ":");
            }
            if (!other.equals(victim) && ways != 1) {
                town.world.cutOneWay(other + ":", victim + ":");
            }
        }
        town.world.runFor(forMs);
        town.world.join();
        lost(0);
    }

    private void herd(final boolean power, final boolean withEdges) {
        note("all " + (power ? "lose power" : "are killed") + (withEdges ? ", edges too" : ""));
        town.nodes.keySet().stream().filter(address -> withEdges || !machine(address).endsWith(".2"))
            .forEach(power ? town::powerOff : town::kill);
        town.world.runFor(span(300, 2_500));
        back();
        town.world.runFor(SYNC_MS);
    }

    /** The vault that leads goes the moment something was acknowledged. */
    private void afterAck(final boolean withDisk) {
        final int before = judge.acks;
        town.world.runUntil(() -> judge.acks > before, 3_000);
        final String victim = machine(leader());
        note("right after an acknowledgement " + (withDisk ? "power " : "wipe ") + victim);
        on(victim).forEach(town::powerOff);
        if (!withDisk) {
            hosts(victim).forEach(Host::wipe);
        }
        lost(span(300, 3_000));
    }

    // --- other machines ---

    /** A machine of the same kind and zone, empty, at an address that nobody has heard of. */
    String bootLike(final String machine) {
        final boolean vault = machine.endsWith("9");
        machines += 10;
        final String fresh = machine.substring(0, machine.lastIndexOf('.') + 1) + (machines % 1_000 + (vault ? 9 : 1));
        town.seeds = town.all("crux").stream().filter(crux -> town.world.host(crux).up()).limit(3).map(crux -> machine(crux) + ":8024").toList();
        if (!vault) {
            town.boot(fresh + ":" + (Town.PORT + Settings.CRUX_OFFSET), false);
        }
        town.boot(fresh + ":" + Town.PORT, false);
        return fresh;
    }

    /** Gone for good, with its disk. */
    void remove(final String machine) {
        for (final String address : on(machine)) {
            town.powerOff(address);
            town.world.host(address).wipe();
            town.nodes.remove(address);
        }
    }

    private void replace(final String victim) {
        note("replace " + victim);
        remove(victim);
        town.world.runFor(1_000);
        note("by " + bootLike(victim));
        town.world.runFor(SYNC_MS);
    }

    /** The new one first, then the old one is told to end; it has as long as the platform gives. */
    void replacePlanned(final String victim) {
        final String fresh = bootLike(victim);
        final long startMs = town.world.nowMs();
        note("replace planned " + victim + (machine(leader()).equals(victim) ? ", which leads," : "") + " by " + fresh);
        town.world.runFor(span(1_000, 3_000));
        note("stop " + victim);
        on(victim).forEach(town::stop);
        town.world.runUntil(() -> hosts(victim).stream().noneMatch(Host::up), 6_000);
        remove(victim);
        town.world.runFor(Math.max(1_000, startMs + SYNC_MS - town.world.nowMs()));
    }

    private void retireOrAdd() {
        final List<String> vaults = town.all("vault");
        if (vaults.size() < 4 || vaults.size() < 7 && draw.nextBoolean()) {
            note("add " + bootLike(machine(vaults.get(draw.nextInt(vaults.size())))));
            town.world.runFor(SYNC_MS);
            return;
        }
        final String victim = draw.nextBoolean() ? leader() : vaults.get(draw.nextInt(vaults.size()));
        note("retire " + victim);
        town.insist("POST", "/-/retire/node-" + victim + "/begin", 0, "{\"OverS\":10}", 200);
        final long startMs = town.world.nowMs();
        while (!town.insist("GET", "/-/retire/node-" + victim + "/show", 0, "", 200).json().contains("finished")) {
            town.world.runFor(200);
            if (town.world.nowMs() - startMs > 20_000) {
                throw new AssertionError(victim + " was never emptied");
            }
        }
        note("emptied " + victim);
        remove(machine(victim));
    }

    // --- the end ---

    /** The last fault, right after something was acknowledged or at any moment. */
    void closing(final Operator operator) {
        final int kind = draw.nextInt(4);
        final int moment = draw.nextInt(3);
        final int before = moment == 0 ? operator.acks : judge.acks;
        if (moment < 2) {
            town.world.runUntil(() -> (moment == 0 ? operator.acks : judge.acks) > before, 3_000);
        }
        note("closing fault after " + List.of("an order's", "a message's", "no").get(moment) + " acknowledgement: "
            + List.of("all lose power", "all are killed", "one is wiped", "one is wiped, the rest lose power").get(kind));
        final List<String> core = core();
        final String wiped = draw.nextBoolean() ? machine(leader()) : core.get(draw.nextInt(core.size()));
        switch (kind) {
            case 0 -> town.nodes.keySet().forEach(town::powerOff);
            case 1 -> town.nodes.keySet().forEach(town::kill);
            default -> {
                if (kind == 3) {
                    town.nodes.keySet().forEach(town::powerOff);
                }
                note("wiped " + wiped);
                wipe(wiped);
            }
        }
        town.world.runFor(span(300, 3_000));
        quiet = true;
        back();
    }
}
