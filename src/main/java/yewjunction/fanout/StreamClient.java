package yewjunction.fanout;

import static yewjunction.common.Limits.HOME_BEAT_MS;
import static yewjunction.common.Limits.HOME_RETURN_MS;
import static yewjunction.common.Limits.HOME_SILENCE_MS;

import java.util.List;
import java.util.function.Supplier;
import yewjunction.common.AgentContext;
import yewjunction.common.LogEvent;
import yewjunction.common.PeerConnection;
import yewjunction.common.PeerTransport;
import yewjunction.fanout.FanoutMessages.AttachRequest;
import yewjunction.fanout.FanoutMessages.AttachResponse;
import yewjunction.fanout.FanoutMessages.Heartbeat;
import yewjunction.fanout.FanoutMessages.ReplayResponse;
import yewjunction.fanout.FanoutMessages.StreamBatch;
import yewjunction.store.StoredMessage;
import yewjunction.subscription.AddWinsSet;

/**
 * An edge's side of its home: attaches, follows the stream without gap, moves on when the home is
 * lost.
 */
public final class StreamClient {
  private final AgentContext pulse;
  private final PeerTransport post;
  private final AddWinsSet weave;
  private final SubscriptionSync shuttle;
  private final SubscriptionSyncClient weft;
  private final Supplier<List<String>> vaults;
  private final Listener watcher;
  private final String node;
  private PeerConnection home;
  private boolean welcomed;
  private long last = -1;
  private long heardMs;
  private long homelessMs;
  private long returnMs;
  private int attempt;
  private int denials;
  private String leader = "";

  /** Told of what comes from the home. */
  public interface Listener {
    void message(StoredMessage message);

    void taken(
        long request, boolean expired, long position, List<StoredMessage> behind, boolean more);

    void leaderIs(String address);

    /** The home hears a leader right now. */
    void leaderHeard();

    /** A home took this edge: what is still open is asked again. */
    void attached();

    /** Messages this edge should have had are gone: its clients must take up their cursors anew. */
    void gapped();
  }

  /**
   * Vaults: addresses, the own zone's first. Changed: something of the set may have been merged.
   */
  public StreamClient(
      final AgentContext pulse,
      final PeerTransport post,
      final AddWinsSet weave,
      final String node,
      final Supplier<List<String>> vaults,
      final Listener watcher,
      final Runnable changed) {
    this.pulse = pulse;
    this.post = post;
    this.weave = weave;
    this.node = node;
    this.vaults = vaults;
    this.watcher = watcher;
    shuttle = new SubscriptionSync(pulse, post, weave, () -> List.of(weave.self()), changed);
    weft =
        new SubscriptionSyncClient(
            pulse, post, weave, shuttle, () -> welcomed ? home : null, changed);
    homelessMs = pulse.nowMs();
    post.on(AttachResponse.class, this::welcome);
    post.on(StreamBatch.class, this::flow);
    post.on(ReplayResponse.class, this::takenUp);
    post.onClose(this::closed);
    pulse.every(HOME_BEAT_MS, this::beat);
    pulse.every(
        HOME_BEAT_MS / 3,
        () -> {
          // Without a home clients wait: looked for at a faster pace than a home is kept at.
          if (home != null && pulse.nowMs() - heardMs > HOME_SILENCE_MS) {
            // A dark machine resets nothing: silence is all there is to go by.
            leave();
            attempt++;
          }
          if (home == null) {
            denials = 0;
            attach();
          }
        });
  }

  /** ms without a home, 0 while there is one. */
  public long homelessMs() {
    return welcomed ? 0 : pulse.nowMs() - homelessMs;
  }

  public String leader() {
    return leader;
  }

  private void beat() {
    final long nowMs = pulse.nowMs();
    denials = 0;
    if (welcomed) {
      final Heartbeat word = new Heartbeat();
      word.last = last;
      home.send(word);
      goBack(nowMs);
    }
  }

  /**
   * The own zone's vault is nearest: an edge that fled goes back once that has been up for a while.
   */
  private void goBack(final long nowMs) {
    final List<String> known = vaults.get();
    if (known.isEmpty() || known.get(0).equals(home.remote())) {
      returnMs = nowMs;
    } else if (nowMs - returnMs > HOME_RETURN_MS) {
      returnMs = nowMs;
      attempt = 0;
      leave();
      attach();
    }
  }

  public void attach() {
    final List<String> known = vaults.get();
    if (weave.self() == 0 || known.isEmpty() || home != null) {
      return;
    }
    home = post.dial(known.get(Math.floorMod(attempt, known.size())));
    heardMs = pulse.nowMs();
    // Its own part of the set comes first, so that the stream starts with all this edge's
    // subscriptions.
    shuttle.push(home, List.of(weave.self()), weave.mark(weave.self()));
    final AttachRequest attach = new AttachRequest();
    attach.replica = weave.self();
    attach.node = node;
    attach.last = last;
    home.send(attach);
  }

  /** This edge's side of the exchange of the set. */
  public SubscriptionSyncClient weft() {
    return weft;
  }

  /**
   * What was said under the old name counts no more: attached anew under the new one, as soon as
   * there is one.
   */
  public void renamed() {
    leave();
    attach();
  }

  private void leave() {
    if (home != null) {
      final PeerConnection left = home;
      home = null;
      if (welcomed) {
        welcomed = false;
        homelessMs = pulse.nowMs();
        LogEvent.HOME_LOST.info(left.remote());
      }
      // Closed, so that nothing of the old stream can arrive any more.
      left.close();
    }
  }

  private void closed(final PeerConnection link) {
    if (link == home) {
      // A link that broke may be the link's own trouble: the same home is asked first, and only one
      // that
      // does not take this edge again is given up for another zone's.
      if (!welcomed) {
        attempt++;
      }
      leave();
      attach();
    }
  }

  private void welcome(final PeerConnection link, final AttachResponse welcome) {
    if (link != home) {
      return;
    }
    heardMs = pulse.nowMs();
    if (!welcome.accepted) {
      leave();
      attempt++;
      // Each vault is asked once a beat: the next one at once, the same again a little later.
      if (++denials < vaults.get().size()) {
        attach();
      }
      return;
    }
    welcomed = true;
    returnMs = heardMs;
    LogEvent.HOME_ATTACHED.info(link.remote() + " from " + welcome.start);
    final boolean gap = last >= 0 && welcome.start > last;
    last = welcome.start;
    hint(welcome.leader);
    if (gap) {
      LogEvent.STREAM_GAP.warn("up to " + last);
      watcher.gapped();
    }
    watcher.attached();
  }

  private void hint(final String address) {
    if (!address.isEmpty() && !address.equals(leader)) {
      leader = address;
      watcher.leaderIs(address);
    }
  }

  private void flow(final PeerConnection link, final StreamBatch flow) {
    if (link != home || !welcomed) {
      return;
    }
    heardMs = pulse.nowMs();
    // Each piece names its predecessor: a gap shows, and the stream is taken up anew.
    if (flow.from != last) {
      LogEvent.STREAM_GAP.warn("at " + last + ", piece from " + flow.from);
      leave();
      attach();
      return;
    }
    flow.messages.forEach(watcher::message);
    last = flow.upTo;
    hint(flow.leader);
    if (!flow.leader.isEmpty()) {
      watcher.leaderHeard();
    }
  }

  private void takenUp(final PeerConnection link, final ReplayResponse taken) {
    if (link == home && welcomed) {
      heardMs = pulse.nowMs();
      watcher.taken(taken.request, taken.expired, taken.position, taken.messages, taken.more);
    }
  }
}
