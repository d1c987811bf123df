package yewjunction.raft;

import static yewjunction.common.Limits.APPEND_BYTES;
import static yewjunction.common.Limits.APPEND_ENTRIES;
import static yewjunction.common.Limits.RELAY_AGAIN_MS;
import static yewjunction.common.Limits.RELAY_BEAT_MS;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import yewjunction.common.PeerConnection;
import yewjunction.raft.RaftMessages.AppendEntriesRequest;
import yewjunction.raft.RaftMessages.FetchRequest;
import yewjunction.raft.RaftMessages.FetchResponse;

/**
 * Committed entries handed on inside a zone: the leader sends them across once, to a voter there,
 * and members without a vote fetch them from it. What is committed is the same everywhere, so it
 * does not matter who hands it on.
 */
final class ZoneRelay {
  private final RaftNode ledger;

  /** Who asked for what is not committed here yet: answered the moment it is. */
  private final Map<PeerConnection, FetchRequest> waiting = new LinkedHashMap<>();

  /** Where this member fetches from, null while the leader itself sends. */
  private String source;

  private long askedMs;

  ZoneRelay(final RaftNode ledger) {
    this.ledger = ledger;
  }

  /** The leader's word on who serves this member. */
  void source(final String address) {
    final boolean other = address != null && !address.equals(source);
    source = address;
    if (source != null && (other || ledger.pulse.nowMs() - askedMs > RELAY_AGAIN_MS)) {
      fetch();
    }
  }

  private void fetch() {
    final FetchRequest fetch = ledger.addressed(new FetchRequest(), null);
    fetch.next = ledger.log.lastIndex() + 1;
    fetch.lastTerm = ledger.log.lastTerm();
    askedMs = ledger.pulse.nowMs();
    ledger.introductions.send(ledger.post.dial(source), fetch);
  }

  /**
   * To a member whose zone has the entries: it only needs to hear who leads, and to say how far it
   * is.
   */
  void tell(final String identity, final PeerProgress standing, final long round) {
    final long nowMs = ledger.pulse.nowMs();
    if (nowMs - standing.relayToldMs >= RELAY_BEAT_MS) {
      standing.relayToldMs = nowMs;
      final AppendEntriesRequest append = new AppendEntriesRequest();
      append.prevIndex = standing.match;
      append.prevTerm = ledger.log.termAt(standing.match);
      append.commit = ledger.commit();
      append.round = round;
      append.relay = standing.relay;
      ledger.sendTo(identity, append);
    }
  }

  void asked(final PeerConnection link, final FetchRequest fetch) {
    waiting.put(link, fetch);
    serve(link, fetch);
  }

  /** More is committed here now. */
  void committed() {
    if (!waiting.isEmpty()) {
      new LinkedHashMap<>(waiting).forEach(this::serve);
    }
  }

  private void serve(final PeerConnection link, final FetchRequest fetch) {
    final long commit = ledger.commit();
    if (fetch.next > commit) {
      return;
    }
    waiting.remove(link);
    // Behind this member's snapshot, or with a tail that was never committed: the leader's matter,
    // which sees it lag.
    if (ledger.log.termAt(fetch.next - 1) != fetch.lastTerm) {
      return;
    }
    final FetchResponse fetched = ledger.addressed(new FetchResponse(), fetch.from);
    fetched.prevIndex = fetch.next - 1;
    fetched.prevTerm = fetch.lastTerm;
    fetched.entries =
        ledger.log.slice(
            fetch.next, (int) Math.min(APPEND_ENTRIES, commit - fetch.next + 1), APPEND_BYTES);
    ledger.introductions.send(link, fetched);
  }

  void taken(final FetchResponse fetched) {
    // What is taken may be of a later term than the one heard of: a leader of an earlier one must
    // not cut it again.
    ledger.seen(fetched.term);
    if (source == null || ledger.leadsTerm()) {
      return;
    }
    final List<LogEntry> entries = fetched.entries;
    // Only right behind the end: what came from elsewhere meanwhile is not touched.
    if (!entries.isEmpty()
        && fetched.prevIndex == ledger.log.lastIndex()
        && fetched.prevTerm == ledger.log.lastTerm()) {
      ledger.course.write(entries);
      ledger.course.commitTo(entries.get(entries.size() - 1).index);
    }
    fetch();
  }

  void closed(final PeerConnection link) {
    waiting.remove(link);
  }
}
