package yewjunction.charter;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import yewjunction.base.Event;
import yewjunction.base.Link;
import yewjunction.base.Post;
import yewjunction.base.Pulse;
import yewjunction.base.Questions;
import yewjunction.charter.Letters.Lease;
import yewjunction.charter.Letters.Renew;
import yewjunction.charter.Letters.Who;

import static yewjunction.base.Limits.LEASE_ANSWER_MS;
import static yewjunction.base.Limits.LEASE_FIRST_MS;
import static yewjunction.base.Limits.LEASE_MS;
import static yewjunction.base.Limits.LEASE_PACE_MS;
import static yewjunction.base.Limits.LEASE_RETURN;

/** A tide's or vault's hold on the configuration: renewed from a home crux, lapsed when no majority stands behind it. */
public final class Tenure {
    private final Pulse pulse;
    private final Post post;
    private final Who who = new Who();
    private final Supplier<List<String>> homes;
    private final Watcher watcher;
    private Runnable report = () -> { };
    private Charter charter;
    private Facts facts = new Facts();
    private long leaseEndMs = Long.MIN_VALUE;
    private boolean held;
    private int attempt;
    private int good;
    private Questions<Link, Asked> questions;
    /** Nobody has answered since the newest question. */
    private boolean silent;

    /** When a lease was asked for, and at which turn through the homes. */
    private record Asked(long atMs, int attempt) {
    }

    /** Told of what changed. */
    public interface Watcher {
        void configChanged(Charter charter);

        void factsChanged(Facts facts);
    }

    /** Homes: addresses of cruxes, the nearest first. */
    public Tenure(final Pulse pulse, final Post post, final Supplier<List<String>> homes, final Watcher watcher) {
        this.pulse = pulse;
        this.post = post;
        this.homes = homes;
        this.watcher = watcher;
        post.on(Lease.class, this::leased);
    }

    public Tenure named(final String address, final String node, final String zone, final String duty, final long life) {
        who.address = address;
        who.node = node;
        who.zone = zone;
        who.duty = duty;
        who.life = life;
        questions = new Questions<>(life);
        return this;
    }

    /** Drawn at this process's start. */
    public long life() {
        return who.life;
    }

    /** A vault's ledger identity. */
    public void identity(final String identity) {
        who.identity = identity;
    }

    /** How far this vault's ledger is applied. */
    public void applied(final long applied) {
        who.applied = applied;
    }

    /** Looks just before each renewal at how this process does, for whoever asks a crux about it. */
    public void reporting(final Runnable chosenReport) {
        report = chosenReport;
    }

    /** An edge's messages that wait for a leader, and whether none answers. */
    public void waiting(final long waiting, final boolean dark) {
        who.waiting = waiting;
        who.dark = dark;
    }

    /** For how long a vault's disk has owed its oldest write. */
    public void diskOwed(final long owedMs) {
        who.diskOwedMs = owedMs;
    }

    /** What tenants that borrow ahead hold and owe at this vault. */
    public void balances(final List<Balance> balances) {
        who.balances = balances;
    }

    /** Breaks of the declared order that this edge met. */
    public void disorders(final List<Disorder> disorders) {
        who.disorders = disorders;
    }

    /** Nodes that the vault group's leader has emptied. */
    public void emptied(final List<String> nodes) {
        who.emptied = new ArrayList<>(nodes);
    }

    public void start() {
        renew();
    }

    private void renew() {
        final List<String> known = homes.get();
        final long pauseMs = known.isEmpty() || silent ? LEASE_ANSWER_MS / 2 : LEASE_PACE_MS;
        if (silent) {
            // The home did not answer: it may be dark, so the next nearest is asked.
            attempt++;
            good = 0;
        } else if (++good >= LEASE_RETURN) {
            attempt = 0;
        }
        if (!known.isEmpty()) {
            report.run();
            who.held = held();
            final Runtime runtime = Runtime.getRuntime();
            who.memoryPct = (int) (100 * (runtime.totalMemory() - runtime.freeMemory()) / runtime.maxMemory());
            final Renew renew = new Renew();
            renew.version = version();
            renew.factsNumber = facts.number;
            renew.who = who;
            final Link link = post.dial(known.get(attempt % known.size()));
            final long nowMs = pulse.nowMs();
            // Whose lease would have ended by now.
            questions.drop(asked -> nowMs - asked.atMs >= LEASE_MS);
            renew.request = questions.ask(link, new Asked(nowMs, attempt));
            silent = true;
            link.send(renew);
        }
        pulse.after(charter == null ? LEASE_FIRST_MS : pauseMs, this::renew);
        if (held && !held()) {
            held = false;
            Event.LEASE_LAPSED.warn("version " + version());
        }
    }

    private void leased(final Link link, final Lease lease) {
        final long factsBefore = facts.number;
        if (lease.facts != null && lease.facts.number > facts.number) {
            facts = lease.facts;
        }
        // A change on top of anything else than what is known here is left out: the whole comes with a later lease.
        lease.changes.stream().filter(change -> change.before == facts.number).forEach(facts::apply);
        if (facts.number > factsBefore) {
            watcher.factsChanged(facts);
        }
        // A version never goes backwards in one life of a process.
        final Charter before = charter;
        if (lease.json != null && lease.version > version()) {
            charter = Charter.read(lease.json);
        }
        lease.patches.stream().filter(patch -> patch.base == version()).forEach(this::patched);
        if (charter != before) {
            Event.CONFIG_APPLIED.info("version " + charter.version());
            watcher.configChanged(charter);
        }
        // The lease counts only with the version it stands for.
        final Asked asked = lease.held && lease.version <= version() ? questions.answered(lease.request, link) : null;
        if (asked != null) {
            silent = false;
            // Whoever answers is asked again, though another was asked meanwhile: that one is yet to be heard.
            attempt = asked.attempt;
            leaseEndMs = Math.max(leaseEndMs, asked.atMs + LEASE_MS);
            if (!held && held()) {
                held = true;
                Event.LEASE_HELD.info("version " + version());
            }
        }
    }

    private void patched(final News.Patch patch) {
        final Charter changed = Charter.of(charter.updated(Charter.parse(patch.json)));
        // Nothing is used that is not exactly what the core holds; without it the version stays, and the whole is sent.
        if (changed.digest() == patch.digest) {
            charter = changed;
        } else {
            Event.PATCH_BAD.warn("version " + patch.version + " on " + patch.base);
        }
    }

    public long version() {
        return charter == null ? 0 : charter.version();
    }

    /** The configuration in force here, null before the first. */
    public Charter charter() {
        return charter;
    }

    public Facts facts() {
        return facts;
    }

    /** Whether requests may be admitted and messages delivered right now. */
    public boolean held() {
        return charter != null && pulse.nowMs() < leaseEndMs;
    }
}
