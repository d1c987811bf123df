package yewjunction.ledger;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import yewjunction.base.Event;
import yewjunction.base.Link;
import yewjunction.base.Post;
import yewjunction.base.Pulse;
import yewjunction.ledger.Letters.Ask;
import yewjunction.ledger.Letters.AskAnswer;
import yewjunction.ledger.Letters.HandOver;

import static yewjunction.base.Limits.ELECT_LEAST_MS;
import static yewjunction.base.Limits.ELECT_MOST_MS;
import static yewjunction.base.Limits.LEDGER_BYTES;
import static yewjunction.base.Limits.LEDGER_TAIL_ENTRIES;

/** One member of a replicated log. All calls on the owner's thread. */
public final class Ledger {
    enum Role { FOLLOWS, STANDS, LEADS }

    final int group;
    final Pulse pulse;
    final Post post;
    final Archive archive;
    final Log log;
    private final Machine machine;
    private final Leading leading;
    private final Following following;
    private final Map<Long, Proposal> proposals = new HashMap<>();
    private final Set<String> grants = new HashSet<>();
    private Role role = Role.FOLLOWS;
    private String leaderIdentity;
    private long heardMs;
    private long electAtMs;
    private boolean standing;
    private boolean stopped;
    private boolean rewriting;
    private long commit;
    private long applied;
    long syncedIndex;
    private long cuts;

    private record Proposal(long term, Consumer<Boolean> done) {
    }

    public Ledger(final int group, final Pulse pulse, final Post post, final Disk disk, final Clerk clerk,
            final String name, final Machine machine) {
        this.group = group;
        this.pulse = pulse;
        this.post = post;
        this.machine = machine;
        archive = new Archive(new Shelf(disk, clerk, name));
        log = archive.log;
        leading = new Leading(this);
        following = new Following(this);
        if (archive.state != null) {
            machine.restore(archive.stateIndex, archive.state);
            applied = archive.stateIndex;
            commit = applied;
        }
        syncedIndex = log.lastIndex();
        heardMs = -ELECT_MOST_MS;
        Event.LEDGER_OPENED.info("group " + group + " identity " + archive.identity + " term " + archive.term
            + " last " + log.lastIndex() + " voters " + voters());
    }

    /** Names a member whose disk was empty; nothing is answered under a name before it is on disk. */
    public void name(final String identity) {
        archive.saveIdentity(identity, () -> { });
    }

    /** The first voters; has no effect on a log that has some. */
    public void found(final List<String> firstVoters) {
        if (voters().isEmpty() && log.lastIndex() == 0) {
            log.reset(0, 0, firstVoters);
            archive.rewrite(0, machine.snapshot(), () -> { });
            restartClock();
        }
    }

    public void start() {
        restartClock();
        watch();
    }

    public void stop() {
        stopped = true;
    }

    public String identity() {
        return archive.identity;
    }

    public static String address(final String identity) {
        return identity.substring(0, identity.indexOf('#'));
    }

    public List<String> voters() {
        return log.votersAt(log.lastIndex());
    }

    public String leader() {
        return leaderIdentity;
    }

    public long commit() {
        return commit;
    }

    public long applied() {
        return applied;
    }

    /** True when this member leads and has applied all that was committed before its term. */
    public boolean leads() {
        return role == Role.LEADS && applied >= leading.firstIndex() && !stopped;
    }

    boolean leadsTerm() {
        return role == Role.LEADS && !stopped;
    }

    boolean stopped() {
        return stopped;
    }

    /** Appends at the leader; done tells once it is applied here, or false when the leadership ended first. */
    public boolean propose(final byte[] data, final Consumer<Boolean> done) {
        if (!leads() || leading.handing()) {
            return false;
        }
        final long index = leading.append(Entry.DATA, data);
        proposals.put(index, new Proposal(archive.term, done));
        return true;
    }

    /** Asks a majority whether this member still leads; true comes only after that. */
    public void confirm(final Consumer<Boolean> done) {
        if (leads()) {
            leading.confirm(done);
        } else {
            done.accept(false);
        }
    }

    public void changeVoters(final List<String> newVoters) {
        leading.changeVoters(newVoters);
    }

    /** Whether a member is within a few entries of this leader's end. */
    public boolean nearEnd(final String identity) {
        return leading.nearEnd(identity);
    }

    public void learn(final String identity, final boolean wantsVote) {
        leading.learn(identity, wantsVote);
    }

    /** Asks whoever leads to bring this member up to date. */
    public void join(final String siblingAddress, final boolean wantsVote) {
        following.join(siblingAddress, wantsVote);
    }

    public void handOver(final Runnable done) {
        leading.handOver(done);
    }

    /** Takes the group's letters from the post; other groups of the process listen beside it. */
    public void listen() {
        post.on(Ask.class, this::take);
        post.on(AskAnswer.class, this::take);
        post.on(Letters.Append.class, this::take);
        post.on(Letters.AppendAnswer.class, this::take);
        post.on(Letters.Image.class, this::take);
        post.on(HandOver.class, this::take);
        post.on(Letters.Join.class, this::take);
    }

    /** Routes a letter of this group to this member; letters to another identity are not for it. */
    public void take(final Link link, final Letters.Letter letter) {
        if (stopped || letter.group != group || archive.identity == null
            || letter.to != null && !letter.to.equals(archive.identity)) {
            return;
        }
        if (letter instanceof Ask ask) {
            following.ask(link, ask);
        } else if (letter instanceof AskAnswer answer) {
            granted(answer);
        } else if (letter instanceof Letters.Append append) {
            following.append(link, append);
        } else if (letter instanceof Letters.AppendAnswer answer) {
            leading.answered(answer);
        } else if (letter instanceof Letters.Image image) {
            following.image(link, image);
        } else if (letter instanceof HandOver handOver && handOver.term == archive.term) {
            stand(true);
        } else if (letter instanceof Letters.Join joiner) {
            leading.learn(joiner.from, joiner.wantsVote);
        }
    }

    <T extends Letters.Letter> T addressed(final T letter, final String to) {
        letter.group = group;
        letter.from = archive.identity;
        letter.to = to;
        letter.term = archive.term;
        return letter;
    }

    void sendTo(final String identity, final Letters.Letter letter) {
        post.dial(address(identity)).send(addressed(letter, identity));
    }

    // --- elections ---

    void restartClock() {
        electAtMs = pulse.nowMs() + ELECT_LEAST_MS + pulse.luck().nextInt((int) (ELECT_MOST_MS - ELECT_LEAST_MS));
    }

    private void watch() {
        if (stopped) {
            return;
        }
        final long nowMs = pulse.nowMs();
        if (role != Role.LEADS && nowMs >= electAtMs) {
            stand(false);
        }
        pulse.after(Math.max(10, role == Role.LEADS ? ELECT_LEAST_MS : electAtMs - nowMs), this::watch);
    }

    boolean heardLately() {
        return role == Role.LEADS || leaderIdentity != null && pulse.nowMs() - heardMs < ELECT_LEAST_MS;
    }

    /** Asks for votes: first only whether they would be given, so that a member cut off raises no terms. */
    private void stand(final boolean handedOver) {
        restartClock();
        if (archive.identity == null || !voters().contains(archive.identity)) {
            return;
        }
        grants.clear();
        standing = false;
        if (handedOver) {
            standFirmly(true);
            return;
        }
        role = Role.FOLLOWS;
        lostLeader();
        grants.add(archive.identity);
        askAll(true, false);
        count(true);
    }

    private void standFirmly(final boolean handedOver) {
        role = Role.STANDS;
        standing = true;
        grants.clear();
        final long newTerm = archive.term + 1;
        archive.saveVote(newTerm, archive.identity, () -> {
            if (archive.term == newTerm && role == Role.STANDS) {
                grants.add(archive.identity);
                askAll(false, handedOver);
                count(false);
            }
        });
    }

    private void askAll(final boolean pre, final boolean handedOver) {
        for (final String voter : voters()) {
            if (!voter.equals(archive.identity)) {
                final Ask ask = new Ask();
                ask.pre = pre;
                ask.handedOver = handedOver;
                ask.lastIndex = log.lastIndex();
                ask.lastTerm = log.lastTerm();
                post.dial(address(voter)).send(withTerm(addressed(ask, voter), archive.term + (pre ? 1 : 0)));
            }
        }
    }

    static <T extends Letters.Letter> T withTerm(final T letter, final long term) {
        letter.term = term;
        return letter;
    }

    private void granted(final AskAnswer answer) {
        if (answer.term > archive.term && !answer.granted) {
            seen(answer.term);
        } else if (answer.granted && answer.pre && !standing && role == Role.FOLLOWS && answer.term == archive.term + 1
            || answer.granted && !answer.pre && role == Role.STANDS && answer.term == archive.term) {
            grants.add(answer.from);
            count(answer.pre);
        }
    }

    private void count(final boolean pre) {
        final List<String> voters = voters();
        if (voters.stream().filter(grants::contains).count() * 2 <= voters.size()) {
            return;
        }
        if (pre) {
            standFirmly(false);
        } else {
            role = Role.LEADS;
            standing = false;
            grants.clear();
            Event.LEADER_WON.info("group " + group + " term " + archive.term);
            leaderIdentity = archive.identity;
            leading.begin();
        }
    }

    /** A later term was seen: whatever this member was, it follows now. */
    void seen(final long newTerm) {
        if (newTerm > archive.term) {
            archive.saveVote(newTerm, "", () -> { });
            follow(null);
        }
    }

    void follow(final String newLeader) {
        if (role == Role.LEADS) {
            Event.LEADER_LOST.info("group " + group + " term " + archive.term);
            leading.end();
        }
        role = Role.FOLLOWS;
        standing = false;
        grants.clear();
        if (newLeader == null) {
            lostLeader();
        } else {
            heardMs = pulse.nowMs();
            restartClock();
            if (!newLeader.equals(leaderIdentity)) {
                leaderIdentity = newLeader;
                dropProposals();
                machine.leader(newLeader, false);
            }
        }
    }

    private void lostLeader() {
        if (leaderIdentity != null) {
            leaderIdentity = null;
            dropProposals();
            machine.leader(null, false);
        }
    }

    private void dropProposals() {
        final List<Proposal> dropped = List.copyOf(proposals.values());
        proposals.clear();
        dropped.forEach(proposal -> proposal.done.accept(false));
    }

    // --- entries ---

    void write(final List<Entry> entries) {
        if (entries.isEmpty()) {
            return;
        }
        final Entry last = entries.get(entries.size() - 1);
        final long cutsThen = cuts;
        archive.append(entries, () -> {
            // Only entries that were not cut since may count as synced.
            if (cutsThen == cuts && log.termAt(last.index) == last.term) {
                syncedIndex = Math.max(syncedIndex, last.index);
                following.synced();
                leading.synced();
            }
        });
    }

    void cutFrom(final long index) {
        // Invariant: what is committed is never cut.
        if (index <= commit) {
            throw new IllegalStateException("cut at " + index + " below commit " + commit);
        }
        cuts++;
        syncedIndex = Math.min(syncedIndex, index - 1);
        archive.cutFrom(index);
    }

    void installed(final long index, final long term, final List<String> voters, final byte[] state, final Runnable after) {
        cuts++;
        machine.restore(index, state);
        applied = index;
        commit = index;
        archive.install(index, term, voters, state, () -> {
            syncedIndex = Math.max(syncedIndex, index);
            after.run();
        });
        machine.settled(commit);
    }

    void commitTo(final long newCommit) {
        if (newCommit <= commit) {
            return;
        }
        commit = Math.min(newCommit, log.lastIndex());
        while (applied < commit) {
            final Entry entry = log.get(applied + 1);
            applied = entry.index;
            if (entry.kind == Entry.DATA) {
                machine.apply(entry.index, entry.data);
            } else if (entry.kind == Entry.VOTERS) {
                Event.VOTERS_CHANGED.info("group " + group + " " + Archive.votersOf(entry.data));
            }
            final Proposal proposal = proposals.remove(entry.index);
            if (proposal != null) {
                proposal.done.accept(proposal.term == entry.term);
            }
        }
        if (leadsTerm()) {
            leading.advanced();
        }
        machine.settled(commit);
        shorten();
    }

    void announceLeading() {
        machine.leader(archive.identity, true);
    }

    private void shorten() {
        if (rewriting || archive.bytes() < LEDGER_BYTES) {
            return;
        }
        rewriting = true;
        log.dropTo(Math.max(log.baseIndex(), applied - LEDGER_TAIL_ENTRIES));
        archive.rewrite(applied, machine.snapshot(), () -> {
            rewriting = false;
            Event.LEDGER_REWRITTEN.info("group " + group + " bytes " + archive.bytes());
        });
    }

    byte[] image() {
        return machine.snapshot();
    }
}
