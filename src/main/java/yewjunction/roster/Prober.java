package yewjunction.roster;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import yewjunction.base.Pulse;
import yewjunction.roster.Letters.Detour;
import yewjunction.roster.Letters.Echo;
import yewjunction.roster.Letters.Letter;
import yewjunction.roster.Letters.Probe;

import static yewjunction.base.Limits.PROBE_ACROSS_EVERY;
import static yewjunction.base.Limits.PROBE_ANSWER_MS;
import static yewjunction.base.Limits.PROBE_HELPERS;
import static yewjunction.base.Limits.PROBE_MS;

/** Probes a peer a period, asks others for a second opinion, and answers for others. */
final class Prober {
    private final Pulse pulse;
    private final Roster roster;
    private final ArrayDeque<String> nearTurn = new ArrayDeque<>();
    private final ArrayDeque<String> farTurn = new ArrayDeque<>();
    private final Map<Long, Consumer<Peer>> awaited = new HashMap<>();
    private long probeNumber;

    Prober(final Pulse pulse, final Roster roster) {
        this.pulse = pulse;
        this.roster = roster;
    }

    void start() {
        // Spread over a period, so that processes started together do not probe together.
        pulse.after(pulse.luck().nextInt((int) PROBE_MS), this::probeNext);
    }

    void take(final String from, final Letter letter) {
        if (letter instanceof Probe probe) {
            final Echo echo = new Echo();
            echo.number = probe.number;
            roster.send(from, echo);
        } else if (letter instanceof Echo echo) {
            final Consumer<Peer> awaiting = awaited.remove(echo.number);
            if (awaiting != null) {
                awaiting.accept(letter.self);
            }
        } else if (letter instanceof Detour detour) {
            final long number = ++probeNumber;
            awaited.put(number, peer -> {
                final Echo echo = new Echo();
                echo.number = detour.number;
                roster.send(from, echo);
            });
            pulse.after(PROBE_MS, () -> awaited.remove(number));
            final Probe probe = new Probe();
            probe.number = number;
            roster.send(detour.target, probe);
        }
    }

    private void probeNext() {
        if (roster.left()) {
            return;
        }
        pulse.after(PROBE_MS, this::probeNext);
        roster.sweep();
        final String target = nextTarget();
        if (target == null) {
            return;
        }
        final long number = ++probeNumber;
        final boolean[] answered = new boolean[1];
        awaited.put(number, peer -> answered[0] = true);
        final Probe probe = new Probe();
        probe.number = number;
        roster.send(target, probe);
        pulse.after(PROBE_ANSWER_MS, () -> {
            if (!answered[0]) {
                askOthers(target, number);
            }
        });
        pulse.after(PROBE_MS - 50, () -> {
            awaited.remove(number);
            if (!answered[0]) {
                roster.suspect(target);
            }
        });
    }

    private String nextTarget() {
        final boolean across = probeNumber % PROBE_ACROSS_EVERY == PROBE_ACROSS_EVERY - 1;
        String target = nextOf(across ? farTurn : nearTurn, across);
        // A zone with nobody else in it looks across every time.
        return target != null ? target : nextOf(across ? nearTurn : farTurn, !across);
    }

    private String nextOf(final ArrayDeque<String> turn, final boolean across) {
        if (turn.isEmpty()) {
            final List<String> addresses = new ArrayList<>();
            for (final Peer peer : roster.all()) {
                if (peer.up() && peer.zone.equals(roster.self().zone) != across) {
                    addresses.add(peer.address);
                }
            }
            Collections.sort(addresses);
            Collections.shuffle(addresses, pulse.luck());
            turn.addAll(addresses);
        }
        return turn.poll();
    }

    private void askOthers(final String target, final long number) {
        final List<String> helpers = new ArrayList<>();
        for (final Peer peer : roster.all()) {
            if (peer.standing == Peer.UP && peer.zone.equals(roster.self().zone) && !peer.address.equals(target)) {
                helpers.add(peer.address);
            }
        }
        Collections.shuffle(helpers, pulse.luck());
        for (int i = 0; i < Math.min(PROBE_HELPERS, helpers.size()); i++) {
            final Detour detour = new Detour();
            detour.number = number;
            detour.target = target;
            roster.send(helpers.get(i), detour);
        }
    }
}
