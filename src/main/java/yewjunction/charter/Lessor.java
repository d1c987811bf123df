package yewjunction.charter;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import yewjunction.base.Link;
import yewjunction.base.Post;
import yewjunction.base.Pulse;
import yewjunction.base.Questions;
import yewjunction.charter.Letters.Confirm;
import yewjunction.charter.Letters.Confirmed;
import yewjunction.charter.Letters.Lease;
import yewjunction.charter.Letters.Renew;
import yewjunction.ledger.Ledger;

import static yewjunction.base.Limits.FACTS_BATCH_MS;
import static yewjunction.base.Limits.LEASE_ANSWER_MS;
import static yewjunction.base.Limits.LEASE_BATCH_MS;
import static yewjunction.base.Limits.LEASE_MS;

/** Home for the tides and vaults of a zone: leases on the leader's confirmed word, and news at once. */
final class Lessor {
    private final Pulse pulse;
    private final Post post;
    private final Core core;
    private final Ledger ledger;
    private final Registrar registrar;
    private final Wards wards;
    private final Map<Link, Told> subscribers = new LinkedHashMap<>();
    private List<Asked> waiting = new ArrayList<>();
    /** To the leader: one at a time. */
    private final Questions<Link, List<Asked>> questions;
    private final List<Proven> proven = new ArrayList<>();
    private final Set<Link> unnamed = new HashSet<>();
    private long askedMs;
    private boolean telling;
    private boolean tellingFacts;
    private boolean batching;

    private record Asked(Link link, Renew renew, long atMs) {
    }

    /** What a process has been told on its link. Links lose nothing, so nothing is told twice on one. */
    private static final class Told {
        Renew renew;
        long version;
        long factsNumber;
        long toldMs;
    }

    /** Confirmed up to a commit that this home may not have applied yet. */
    private record Proven(long commit, List<Asked> asked) {
    }

    Lessor(final Pulse pulse, final Post post, final Core core, final Ledger ledger, final Registrar registrar,
            final Wards wards, final long life) {
        this.pulse = pulse;
        this.post = post;
        this.core = core;
        this.ledger = ledger;
        this.registrar = registrar;
        this.wards = wards;
        questions = new Questions<>(life);
        post.on(Renew.class, this::renew);
        post.on(Confirm.class, this::confirm);
        post.on(Confirmed.class, this::confirmed);
        post.onClose(link -> {
            subscribers.remove(link);
            unnamed.remove(link);
        });
    }

    private void renew(final Link link, final Renew renew) {
        final long nowMs = pulse.nowMs();
        final Told told = subscribers.computeIfAbsent(link, key -> new Told());
        told.renew = renew;
        // Less than it was told some time ago: it could not take that, and gets the whole.
        final boolean old = nowMs - told.toldMs > 2 * LEASE_MS;
        told.version = renew.version >= told.version ? renew.version : old ? 0 : told.version;
        told.factsNumber = renew.factsNumber >= told.factsNumber ? renew.factsNumber : old ? -1 : told.factsNumber;
        registrar.heard(renew.who);
        wards.heard(renew.who);
        if (renew.who.duty.equals("tide") && !named(renew)) {
            unnamed.add(link);
        }
        // The newest question of an asker stands for its earlier ones.
        waiting.removeIf(asked -> asked.link == link);
        waiting.add(new Asked(link, renew, nowMs));
        ask();
    }

    /** One question to the leader at a time; what comes meanwhile rides on the next, never on an earlier one. */
    private void ask() {
        final long nowMs = pulse.nowMs();
        final boolean lost = nowMs - askedMs > LEASE_ANSWER_MS / 2;
        if (waiting.isEmpty() || !questions.none() && !lost) {
            return;
        }
        // One question serves all askers of a short while: each goes through a majority, across zones.
        if (nowMs - askedMs < LEASE_BATCH_MS) {
            if (!batching) {
                batching = true;
                pulse.after(LEASE_BATCH_MS - (nowMs - askedMs), () -> {
                    batching = false;
                    ask();
                });
            }
            return;
        }
        if (ledger.leads()) {
            final List<Asked> asked = waiting;
            waiting = new ArrayList<>();
            askedMs = nowMs;
            ledger.confirm(held -> {
                if (held) {
                    asked.forEach(this::grant);
                }
            });
        } else if (ledger.leader() != null && !ledger.leader().equals(ledger.identity())) {
            final Link link = post.dial(Ledger.address(ledger.leader()));
            final Confirm confirm = new Confirm();
            questions.dropAll();
            confirm.number = questions.ask(link, waiting);
            waiting = new ArrayList<>();
            askedMs = nowMs;
            link.send(confirm);
        } else {
            // Nobody leads: they wait for the next leader, since a lease counts from when it was asked for anyway.
            waiting.removeIf(asked -> !asked.link.open() || nowMs - asked.atMs > LEASE_MS);
        }
    }

    /** Somebody leads now: whoever waited is served at once. */
    void leaderChanged() {
        registrar.leaderChanged();
        questions.dropAll();
        askedMs = 0;
        ask();
    }

    private void confirm(final Link link, final Confirm confirm) {
        ledger.confirm(held -> {
            final Confirmed confirmed = new Confirmed();
            confirmed.number = confirm.number;
            confirmed.held = held;
            confirmed.commit = ledger.commit();
            link.send(confirmed);
        });
    }

    private void confirmed(final Link link, final Confirmed confirmed) {
        final List<Asked> asked = questions.answered(confirmed.number, link);
        if (asked == null) {
            return;
        }
        if (confirmed.held) {
            proven.add(new Proven(confirmed.commit, asked));
            settled();
        }
        ask();
    }

    /** Grants what was proven once this home has applied as much. */
    void settled() {
        for (final Proven one : List.copyOf(proven)) {
            if (ledger.applied() >= one.commit) {
                proven.remove(one);
                one.asked.forEach(this::grant);
            }
        }
    }

    private void grant(final Asked asked) {
        final Told told = subscribers.get(asked.link);
        if (told == null) {
            return;
        }
        final Lease lease = news(told);
        lease.held = true;
        lease.request = asked.renew.request;
        asked.link.send(lease);
    }

    private Lease news(final Told told) {
        final Lease lease = new Lease();
        lease.version = core.version();
        if (told.version < core.version()) {
            final List<News.Patch> patches = core.news().patchesFrom(told.version, core.json().length());
            lease.json = patches == null ? core.json() : null;
            lease.patches = patches == null ? lease.patches : patches;
            told.version = core.version();
            told.toldMs = pulse.nowMs();
        }
        if (told.factsNumber < core.facts().number) {
            final List<Facts.Change> changes = core.news().changesFrom(told.factsNumber);
            lease.facts = changes == null ? core.facts() : null;
            lease.changes = changes == null ? lease.changes : changes;
            told.factsNumber = core.facts().number;
            told.toldMs = pulse.nowMs();
        }
        return lease;
    }

    /** Tells all subscribers of a configuration; what one turn changes goes out in one letter. */
    void tell() {
        if (!telling) {
            telling = true;
            pulse.post(this::tellAll);
        }
    }

    private void tellAll() {
        telling = false;
        subscribers.forEach(this::tell);
    }

    private void tell(final Link link, final Told told) {
        final Lease news = news(told);
        if (news.json != null || news.facts != null || !news.patches.isEmpty() || !news.changes.isEmpty()) {
            link.send(news);
        }
    }

    /** Other facts change in bursts, one for each process that starts: only who waits for its name hears at once. */
    void tellFacts() {
        for (final Link link : List.copyOf(unnamed)) {
            final Told told = subscribers.get(link);
            if (told == null || named(told.renew)) {
                unnamed.remove(link);
                if (told != null) {
                    tell(link, told);
                }
            }
        }
        if (!tellingFacts) {
            tellingFacts = true;
            pulse.after(FACTS_BATCH_MS, () -> {
                tellingFacts = false;
                tellAll();
            });
        }
    }

    private boolean named(final Renew renew) {
        return core.facts().replica(renew.who.address, renew.who.life) != 0;
    }
}
