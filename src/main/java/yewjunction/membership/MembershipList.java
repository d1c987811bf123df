package yewjunction.membership;

import static yewjunction.limits.MembershipLimits.DEAD_MEMBER_RETENTION_MS;
import static yewjunction.limits.MembershipLimits.MAX_UPDATES_PER_PING;
import static yewjunction.limits.MembershipLimits.SUSPICION_TIMEOUT_MS;
import static yewjunction.limits.MembershipLimits.UPDATE_TRANSMISSIONS;

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
  private final AgentContext context;
  private final Member self;
  private final BiConsumer<String, Object> sender;
  private final Map<String, Member> peers = new HashMap<>();
  private final Map<String, Long> changedMs = new HashMap<>();
  private final Map<String, Integer> newsLeft = new LinkedHashMap<>();
  private final FailureDetector failureDetector;
  private Function<Member, String> planned = member -> null;
  private final SeedJoiner seedJoiner;
  private boolean left;

  public MembershipList(
      final AgentContext context, final Member self, final BiConsumer<String, Object> sender) {
    this.context = context;
    this.self = self;
    this.sender = sender;
    failureDetector = new FailureDetector(context, this);
    seedJoiner = new SeedJoiner(context, this);
  }

  /** Seeds are peer addresses of crux processes; some may be stale. */
  public void start(final List<String> firstSeeds) {
    seedJoiner.seeds(firstSeeds);
    seedJoiner.start();
    failureDetector.start();
  }

  public void seeds(final List<String> newSeeds) {
    seedJoiner.seeds(newSeeds);
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
    for (final Member member : peers.values()) {
      if (member.up() && role.is(member.duty)) {
        chosen.add(member);
      }
    }
    chosen.sort(
        java.util.Comparator.comparing((Member member) -> !member.zone.equals(self.zone))
            .thenComparing(member -> member.address));
    return chosen;
  }

  public Member at(final String address) {
    return peers.get(address);
  }

  /** The zone of an address, empty when it is not known. */
  public String zoneAt(final String address) {
    final Member member = address.equals(self.address) ? self : peers.get(address);
    return member == null ? "" : member.zone;
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
    for (final Member member : peers.values()) {
      if (member.up() && member.zone.equals(self.zone)) {
        send(member.address, new Ack());
      }
    }
  }

  private void raise(final long number) {
    self.number = number;
    tell(self.address);
  }

  private void tell(final String address) {
    newsLeft.remove(address);
    newsLeft.put(address, UPDATE_TRANSMISSIONS);
  }

  /** Who explains why a peer may be away: planned work, or null for none. */
  public void planned(final Function<Member, String> explainer) {
    planned = explainer;
  }

  private String about(final Member member) {
    final String work = planned.apply(member);
    return member.node + " " + member.duty + (work == null ? "" : " planned: " + work);
  }

  void suspect(final String address) {
    final Member member = peers.get(address);
    if (member != null && member.standing == Member.UP) {
      LogEvent.SIBLING_SUSPECT.info(about(member));
      change(member, Member.SUSPECT);
      tellSuspect(member);
    }
  }

  /**
   * Told at once and again, so that it can refute before the time is over though datagrams get
   * lost.
   */
  private void tellSuspect(final Member member) {
    if (peers.get(member.address) == member && member.standing == Member.SUSPECT && !left) {
      send(member.address, new Ack());
      context.after(SUSPICION_TIMEOUT_MS / 4, () -> tellSuspect(member));
    }
  }

  private void change(final Member member, final int standing) {
    member.standing = standing;
    changedMs.put(member.address, context.nowMs());
    tell(member.address);
  }

  void sweep() {
    final long nowMs = context.nowMs();
    for (final Iterator<Member> each = peers.values().iterator(); each.hasNext(); ) {
      final Member member = each.next();
      final long sinceMs = nowMs - changedMs.getOrDefault(member.address, nowMs);
      if (member.standing == Member.SUSPECT && sinceMs > SUSPICION_TIMEOUT_MS) {
        LogEvent.SIBLING_GONE.info(about(member));
        change(member, Member.GONE);
      } else if (!member.up() && sinceMs > DEAD_MEMBER_RETENTION_MS) {
        each.remove();
        changedMs.remove(member.address);
      }
    }
  }

  void send(final String address, final MembershipMessage message) {
    message.self = self.copy();
    // Whoever is thought to be away hears so first: a restarted or wrongly suspected one then
    // refutes it.
    final Member receiver = peers.get(address);
    if (receiver != null && receiver.standing != Member.UP) {
      message.news.add(receiver.copy());
    }
    for (final String about : List.copyOf(newsLeft.keySet())) {
      if (message.news.size() >= MAX_UPDATES_PER_PING) {
        break;
      }
      final int left = newsLeft.merge(about, -1, Integer::sum);
      if (left <= 0) {
        newsLeft.remove(about);
      }
      final Member known = peers.get(about);
      if (known != null) {
        message.news.add(known.copy());
      }
    }
    sender.accept(address, message);
  }

  public void take(final String from, final Object taken) {
    if (!(taken instanceof MembershipMessage message) || message.self == null) {
      return;
    }
    final long numberBefore = self.number;
    hear(message.self, true);
    // Whoever asks a seed hears all of it: passing that on would cost each of a hundred that start
    // together as many times.
    message.news.forEach(news -> hear(news, !(message instanceof SyncResponse)));
    if (self.number != numberBefore) {
      // A refutation goes straight back to whoever doubted.
      send(from, new Ack());
    }
    if (message instanceof SyncRequest syncRequest) {
      seedJoiner.answer(from, syncRequest);
    } else {
      failureDetector.take(from, message);
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
        changedMs.put(news.address, context.nowMs());
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
