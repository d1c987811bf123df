package yewjunction.roster;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import yewjunction.base.Pulse;
import yewjunction.base.Questions;
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
    /** By address: a datagram has no link that would end with its sender. */
    private final Questions<String, Runnable> questions;
    /** Sent, for others too: what is asked for them changes the turn, or all that started together would look across together. */
    private long probes;

    Prober(final Pulse pulse, final Roster roster) {
        this.pulse = pulse;
        this.roster = roster;
        questions = new Questions<>(roster.self().life);
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
            final Runnable answered = questions.answered(echo.number, letter.self.address);
            if (answered != null) {
                answered.run();
            }
        } else if (letter instanceof Detour detour) {
            final long number = probe(detour.target, () -> {
                final Echo echo = new Echo();
                echo.number = detour.number;
                roster.send(from, echo);
            });
            pulse.after(PROBE_MS, () -> questions.drop(number));
        }
    }

    private long probe(final String target, final Runnable answered) {
        probes++;
        final Probe probe = new Probe();
        probe.number = questions.ask(target, answered);
        roster.send(target, probe);
        return probe.number;
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
        final boolean[] answered = new boolean[1];
        final List<Long> numbers = new ArrayList<>();
        numbers.add(probe(target, () -> answered[0] = true));
        pulse.after(PROBE_ANSWER_MS, () -> {
            if (!answered[0]) {
                askOthers(target, () -> answered[0] = true, numbers);
            }
        });
        pulse.after(PROBE_MS - 50, () -> {
            numbers.forEach(questions::drop);
            if (!answered[0]) {
                roster.suspect(target);
            }
        });
    }

    private String nextTarget() {
        final boolean across = probes % PROBE_ACROSS_EVERY == PROBE_ACROSS_EVERY - 1;
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

    private void askOthers(final String target, final Runnable answered, final List<Long> numbers) {
        final List<String> helpers = new ArrayList<>();
        for (final Peer peer : roster.all()) {
            if (peer.standing == Peer.UP && peer.zone.equals(roster.self().zone) && !peer.address.equals(target)) {
                helpers.add(peer.address);
            }
        }
        Collections.shuffle(helpers, pulse.luck());
        for (int i = 0; i < Math.min(PROBE_HELPERS, helpers.size()); i++) {
            final Detour detour = new Detour();
            // Each opinion is a question of its own: it counts from whom it was asked.
            detour.number = questions.ask(helpers.get(i), answered);
            numbers.add(detour.number);
            detour.target = target;
            roster.send(helpers.get(i), detour);
        }
    }
}
