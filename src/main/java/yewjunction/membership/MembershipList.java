package yewjunction.membership;

import static yewjunction.common.Limits.GONE_MS;
import static yewjunction.common.Limits.NEWS_PER_PROBE;
import static yewjunction.common.Limits.NEWS_TIMES;
import static yewjunction.common.Limits.SUSPECT_MS;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Function;
import yewjunction.common.AgentContext;
import yewjunction.common.LogEvent;
import yewjunction.membership.MembershipMessages.Ack;
import yewjunction.membership.MembershipMessages.MembershipMessage;
import yewjunction.membership.MembershipMessages.SyncRequest;
import yewjunction.membership.MembershipMessages.SyncResponse;

/**
 * Membership by probing, second opinions and suspicion (SWIM). Its removals change no voters and no
 * data.
 */
public final class MembershipList {
  private final AgentContext pulse;
  private final Member self;
  private final BiConsumer<String, Object> sender;
  private final Map<String, Member> peers = new HashMap<>();
  private final Map<String, Long> changedMs = new HashMap<>();
  private final Map<String, Integer> newsLeft = new LinkedHashMap<>();
  private final FailureDetector prober;
  private Function<Member, String> planned = peer -> null;
  private final SeedJoiner hailer;
  private boolean left;

  public MembershipList(
      final AgentContext pulse, final Member self, final BiConsumer<String, Object> sender) {
    this.pulse = pulse;
    this.self = self;
    this.sender = sender;
    prober = new FailureDetector(pulse, this);
    hailer = new SeedJoiner(pulse, this);
  }

  /** Seeds are peer addresses of crux processes; some may be stale. */
  public void start(final List<String> firstSeeds) {
    hailer.seeds(firstSeeds);
    hailer.start();
    prober.start();
  }

  public void seeds(final List<String> newSeeds) {
    hailer.seeds(newSeeds);
  }

  boolean left() {
    return left;
  }

  public Member self() {
    return self;
  }

  public Collection<Member> all() {
    return Collections.unmodifiableCollection(peers.values());
  }

  /** Peers of a duty that are up, own zone first, without this process. */
  public List<Member> up(final NodeRole role) {
    final List<Member> chosen = new ArrayList<>();
    for (final Member peer : peers.values()) {
      if (peer.up() && role.is(peer.duty)) {
        chosen.add(peer);
      }
    }
    chosen.sort(
        java.util.Comparator.comparing((Member peer) -> !peer.zone.equals(self.zone))
            .thenComparing(peer -> peer.address));
    return chosen;
  }

  public Member at(final String address) {
    return peers.get(address);
  }

  /** The zone of an address, empty when it is not known. */
  public String zoneAt(final String address) {
    final Member peer = address.equals(self.address) ? self : peers.get(address);
    return peer == null ? "" : peer.zone;
  }

  public void ready(final boolean ready) {
    if (self.ready != ready) {
      self.ready = ready;
      raise(self.number + 1);
    }
  }

  /** Says goodbye, so that nobody suspects first. */
  public void leave() {
    left = true;
    self.standing = Member.LEFT;
    self.ready = false;
    raise(self.number + 1);
    for (final Member peer : peers.values()) {
      if (peer.up() && peer.zone.equals(self.zone)) {
        send(peer.address, new Ack());
      }
    }
  }

  private void raise(final long number) {
    self.number = number;
    tell(self.address);
  }

  private void tell(final String address) {
    newsLeft.remove(address);
    newsLeft.put(address, NEWS_TIMES);
  }

  /** Who explains why a peer may be away: planned work, or null for none. */
  public void planned(final Function<Member, String> explainer) {
    planned = explainer;
  }

  private String about(final Member peer) {
    final String work = planned.apply(peer);
    return peer.node + " " + peer.duty + (work == null ? "" : " planned: " + work);
  }

  void suspect(final String address) {
    final Member peer = peers.get(address);
    if (peer != null && peer.standing == Member.UP) {
      LogEvent.SIBLING_SUSPECT.info(about(peer));
      change(peer, Member.SUSPECT);
      tellSuspect(peer);
    }
  }

  /**
   * Told at once and again, so that it can refute before the time is over though datagrams get
   * lost.
   */
  private void tellSuspect(final Member peer) {
    if (peers.get(peer.address) == peer && peer.standing == Member.SUSPECT && !left) {
      send(peer.address, new Ack());
      pulse.after(SUSPECT_MS / 4, () -> tellSuspect(peer));
    }
  }

  private void change(final Member peer, final int standing) {
    peer.standing = standing;
    changedMs.put(peer.address, pulse.nowMs());
    tell(peer.address);
  }

  void sweep() {
    final long nowMs = pulse.nowMs();
    for (final Iterator<Member> each = peers.values().iterator(); each.hasNext(); ) {
      final Member peer = each.next();
      final long sinceMs = nowMs - changedMs.getOrDefault(peer.address, nowMs);
      if (peer.standing == Member.SUSPECT && sinceMs > SUSPECT_MS) {
        LogEvent.SIBLING_GONE.info(about(peer));
        change(peer, Member.GONE);
      } else if (!peer.up() && sinceMs > GONE_MS) {
        each.remove();
        changedMs.remove(peer.address);
      }
    }
  }

  void send(final String address, final MembershipMessage letter) {
    letter.self = self.copy();
    // Whoever is thought to be away hears so first: a restarted or wrongly suspected one then
    // refutes it.
    final Member receiver = peers.get(address);
    if (receiver != null && receiver.standing != Member.UP) {
      letter.news.add(receiver.copy());
    }
    for (final String about : List.copyOf(newsLeft.keySet())) {
      if (letter.news.size() >= NEWS_PER_PROBE) {
        break;
      }
      final int left = newsLeft.merge(about, -1, Integer::sum);
      if (left <= 0) {
        newsLeft.remove(about);
      }
      final Member known = peers.get(about);
      if (known != null) {
        letter.news.add(known.copy());
      }
    }
    sender.accept(address, letter);
  }

  public void take(final String from, final Object taken) {
    if (!(taken instanceof MembershipMessage letter) || letter.self == null) {
      return;
    }
    final long numberBefore = self.number;
    hear(letter.self, true);
    // Whoever asks a seed hears all of it: passing that on would cost each of a hundred that start
    // together as many times.
    letter.news.forEach(news -> hear(news, !(letter instanceof SyncResponse)));
    if (self.number != numberBefore) {
      // A refutation goes straight back to whoever doubted.
      send(from, new Ack());
    }
    if (letter instanceof SyncRequest hail) {
      hailer.answer(from, hail);
    } else {
      prober.take(from, letter);
    }
  }

  private void hear(final Member news, final boolean passedOn) {
    if (news.address.equals(self.address)) {
      // News of an earlier life, or a suspicion: refuted by a higher number.
      if (!left
          && news.number >= self.number
          && (news.life != self.life || news.standing != Member.UP)) {
        raise(news.number + 1);
      }
      return;
    }
    final Member known = peers.get(news.address);
    if (known == null) {
      // Someone unknown who is gone already is no news.
      if (news.up()) {
        peers.put(news.address, news);
        changedMs.put(news.address, pulse.nowMs());
        if (passedOn) {
          tell(news.address);
        }
        LogEvent.SIBLING_JOINED.info(news.node + " " + news.duty);
      }
    } else if (news.over(known)) {
      peers.put(news.address, news);
      change(news, news.standing);
    }
  }
}
