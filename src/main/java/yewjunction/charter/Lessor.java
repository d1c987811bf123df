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
    private final Map<Link, Renew> subscribers = new LinkedHashMap<>();
    private List<Asked> waiting = new ArrayList<>();
    private List<Asked> underWay = new ArrayList<>();
    private final List<Proven> proven = new ArrayList<>();
    private final Set<Link> unnamed = new HashSet<>();
    private long number;
    private long askedMs;
    private boolean telling;
    private boolean tellingFacts;
    private boolean batching;

    private record Asked(Link link, Renew renew, long atMs) {
    }

    /** Confirmed up to a commit that this home may not have applied yet. */
    private record Proven(long commit, List<Asked> asked) {
    }

    Lessor(final Pulse pulse, final Post post, final Core core, final Ledger ledger, final Registrar registrar,
            final Wards wards) {
        this.pulse = pulse;
        this.post = post;
        this.core = core;
        this.ledger = ledger;
        this.registrar = registrar;
        this.wards = wards;
        post.on(Renew.class, this::renew);
        post.on(Confirm.class, this::confirm);
        post.on(Confirmed.class, (link, confirmed) -> confirmed(confirmed));
        post.onClose(link -> {
            subscribers.remove(link);
            unnamed.remove(link);
        });
    }

    private void renew(final Link link, final Renew renew) {
        subscribers.put(link, renew);
        registrar.heard(renew.who);
        wards.heard(renew.who);
        if (renew.who.duty.equals("tide") && !named(renew)) {
            unnamed.add(link);
        }
        // The newest question of an asker stands for its earlier ones.
        waiting.removeIf(asked -> asked.link == link);
        waiting.add(new Asked(link, renew, pulse.nowMs()));
        ask();
    }

    /** One question to the leader at a time; what comes meanwhile rides on the next, never on an earlier one. */
    private void ask() {
        final long nowMs = pulse.nowMs();
        final boolean lost = nowMs - askedMs > LEASE_ANSWER_MS / 2;
        if (waiting.isEmpty() || !underWay.isEmpty() && !lost) {
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
            underWay = waiting;
            waiting = new ArrayList<>();
            askedMs = nowMs;
            final Confirm confirm = new Confirm();
            confirm.number = ++number;
            post.dial(Ledger.address(ledger.leader())).send(confirm);
        } else {
            // Nobody leads: they wait for the next leader, since a lease counts from when it was asked for anyway.
            waiting.removeIf(asked -> !asked.link.open() || nowMs - asked.atMs > LEASE_MS);
        }
    }

    /** Somebody leads now: whoever waited is served at once. */
    void leaderChanged() {
        registrar.leaderChanged();
        underWay = new ArrayList<>();
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

    private void confirmed(final Confirmed confirmed) {
        if (confirmed.number != number) {
            return;
        }
        final List<Asked> asked = underWay;
        underWay = new ArrayList<>();
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
        final Lease lease = news(asked.renew);
        lease.held = true;
        lease.askedMs = asked.renew.askedMs;
        asked.link.send(lease);
    }

    private Lease news(final Renew known) {
        final Lease lease = new Lease();
        lease.version = core.version();
        if (known.version < core.version()) {
            lease.json = core.json();
            known.version = core.version();
        }
        if (known.factsNumber < core.facts().number) {
            lease.facts = core.facts();
            known.factsNumber = core.facts().number;
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

    private void tell(final Link link, final Renew known) {
        final Lease news = news(known);
        if (news.json != null || news.facts != null) {
            link.send(news);
        }
    }

    /** Other facts change in bursts, one for each process that starts: only who waits for its name hears at once. */
    void tellFacts() {
        for (final Link link : List.copyOf(unnamed)) {
            final Renew known = subscribers.get(link);
            if (known == null || named(known)) {
                unnamed.remove(link);
                if (known != null) {
                    tell(link, known);
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
