package yewjunction.ledger;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import yewjunction.base.Event;

import static yewjunction.base.Limits.LEDGER_BYTES;
import static yewjunction.base.Limits.LEDGER_TAIL_ENTRIES;

/** How far the log is synced, committed and applied here, and who waits for that. */
final class Course {
    private final Ledger ledger;
    private final Machine machine;
    private final Map<Long, Proposal> proposals = new HashMap<>();
    private boolean rewriting;
    private long commit;
    private long applied;
    private long syncedIndex;
    private long cuts;

    private record Proposal(long term, Consumer<Boolean> done) {
    }

    Course(final Ledger ledger, final Machine machine) {
        this.ledger = ledger;
        this.machine = machine;
        final Archive archive = ledger.archive;
        if (archive.state != null) {
            machine.restore(archive.stateIndex, archive.state);
            applied = archive.stateIndex;
            commit = applied;
        }
        syncedIndex = ledger.log.lastIndex();
    }

    long commit() {
        return commit;
    }

    long applied() {
        return applied;
    }

    long syncedIndex() {
        return syncedIndex;
    }

    void await(final long index, final long term, final Consumer<Boolean> done) {
        proposals.put(index, new Proposal(term, done));
    }

    void dropProposals() {
        final List<Proposal> dropped = List.copyOf(proposals.values());
        proposals.clear();
        dropped.forEach(proposal -> proposal.done.accept(false));
    }

    void write(final List<Entry> entries) {
        if (entries.isEmpty()) {
            return;
        }
        final Entry last = entries.get(entries.size() - 1);
        final long cutsThen = cuts;
        ledger.archive.append(entries, () -> {
            // Only entries that were not cut since may count as synced.
            if (cutsThen == cuts && ledger.log.termAt(last.index) == last.term) {
                syncedIndex = Math.max(syncedIndex, last.index);
                ledger.following().synced();
                ledger.leading().synced();
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
        ledger.archive.cutFrom(index);
    }

    void installed(final long index, final long term, final List<String> voters, final byte[] state, final Runnable after) {
        cuts++;
        machine.restore(index, state);
        applied = index;
        commit = index;
        ledger.archive.install(index, term, voters, state, () -> {
            syncedIndex = Math.max(syncedIndex, index);
            after.run();
        });
        machine.settled(commit);
    }

    void commitTo(final long newCommit) {
        if (newCommit <= commit) {
            return;
        }
        commit = Math.min(newCommit, ledger.log.lastIndex());
        while (applied < commit) {
            final Entry entry = ledger.log.get(applied + 1);
            applied = entry.index;
            if (entry.kind == Entry.DATA) {
                machine.apply(entry.index, entry.data);
            } else if (entry.kind == Entry.VOTERS) {
                Event.VOTERS_CHANGED.info("group " + ledger.group + " " + Archive.votersOf(entry.data));
            }
            final Proposal proposal = proposals.remove(entry.index);
            if (proposal != null) {
                proposal.done.accept(proposal.term == entry.term);
            }
        }
        if (ledger.leadsTerm()) {
            ledger.leading().advanced();
        }
        machine.settled(commit);
        shorten();
    }

    private void shorten() {
        if (rewriting || ledger.archive.bytes() < LEDGER_BYTES) {
            return;
        }
        rewriting = true;
        ledger.log.dropTo(Math.max(ledger.log.baseIndex(), applied - LEDGER_TAIL_ENTRIES));
        ledger.archive.rewrite(applied, machine.snapshot(), () -> {
            rewriting = false;
            Event.LEDGER_REWRITTEN.info("group " + ledger.group + " bytes " + ledger.archive.bytes());
        });
    }

    byte[] image() {
        return machine.snapshot();
    }
}
