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
 * All processes of the system as this one knows them, by the SWIM protocol (Das, Gupta, Motivala,
 * 2002): pings with indirect pings behind them, suspicion before removal, and updates that ride on
 * the messages. A member refutes a suspicion by a higher incarnation.
 *
 * <p>Nothing here changes voters or data: a removal only says that a process does not answer.
 *
 * <p>All calls on the agent's thread.
 */
public final class MembershipList {
  private final AgentContext context;
  private final Member self;
  private final BiConsumer<String, Object> sender;
  private final Map<String, Member> members = new HashMap<>();
  private final Map<String, Long> changedMs = new HashMap<>();
  private final Map<String, Integer> pendingUpdates = new LinkedHashMap<>();
  private final FailureDetector failureDetector;
  private Function<Member, String> plannedWork = member -> null;
  private final SeedJoiner seedJoiner;
  private boolean left;

  /**
   * Creates the list of a process.
   *
   * @param sender sends a message to an address; it may be lost
   */
  public MembershipList(
      final AgentContext context, final Member self, final BiConsumer<String, Object> sender) {
    this.context = context;
    this.self = self;
    this.sender = sender;
    failureDetector = new FailureDetector(context, this);
    seedJoiner = new SeedJoiner(context, this);
  }

  /**
   * Starts pinging and joining.
   *
   * @param firstSeeds addresses of control nodes, some of which may be stale
   */
  public void start(final List<String> firstSeeds) {
    seedJoiner.setSeeds(firstSeeds);
    seedJoiner.start();
    failureDetector.start();
  }

  /** Addresses of control nodes that may know the others, in place of those known before. */
  public void setSeeds(final List<String> newSeeds) {
    seedJoiner.setSeeds(newSeeds);
  }

  boolean hasLeft() {
    return left;
  }

  /** This process, as it describes itself to others. */
  public Member self() {
    return self;
  }

  /** All others that are known, also those that are gone for a short while; read-only. */
  public Collection<Member> all() {
    return Collections.unmodifiableCollection(members.values());
  }

  /** The other members of a role that are up, those of the own zone first. */
  public List<Member> membersUp(final NodeRole role) {
    final List<Member> chosen = new ArrayList<>();
    for (final Member member : members.values()) {
      if (member.isUp() && role.is(member.role)) {
        chosen.add(member);
      }
    }
    chosen.sort(
        java.util.Comparator.comparing((Member member) -> !member.zone.equals(self.zone))
            .thenComparing(member -> member.address));
    return chosen;
  }

  /** The member at an address, null when none is known there. */
  public Member memberAt(final String address) {
    return members.get(address);
  }

  /** The zone of an address, empty when it is not known. */
  public String zoneOf(final String address) {
    final Member member = address.equals(self.address) ? self : members.get(address);
    return member == null ? "" : member.zone;
  }

  /** Tells the others whether this process takes requests. */
  public void setReady(final boolean ready) {
    if (self.ready != ready) {
      self.ready = ready;
      refute(self.incarnation + 1);
    }
  }

  /** Tells the others that this process leaves, so that nobody has to suspect it first. */
  public void leave() {
    left = true;
    self.state = Member.LEFT;
    self.ready = false;
    refute(self.incarnation + 1);
    for (final Member member : members.values()) {
      if (member.isUp() && member.zone.equals(self.zone)) {
        send(member.address, new Ack());
      }
    }
  }

  private void refute(final long number) {
    self.incarnation = number;
    scheduleUpdate(self.address);
  }

  private void scheduleUpdate(final String address) {
    pendingUpdates.remove(address);
    pendingUpdates.put(address, UPDATE_TRANSMISSIONS);
  }

  /** Sets what names the planned work at a member; it returns null when there is none. */
  public void setPlannedWork(final Function<Member, String> explainer) {
    plannedWork = explainer;
  }

  private String describe(final Member member) {
    final String work = plannedWork.apply(member);
    return member.node + " " + member.role + (work == null ? "" : " planned: " + work);
  }

  void suspect(final String address) {
    final Member member = members.get(address);
    if (member != null && member.state == Member.UP) {
      LogEvent.MEMBER_SUSPECTED.info(describe(member));
      setState(member, Member.SUSPECT);
      notifySuspect(member);
    }
  }

  /**
   * Tells the member that it is suspected, several times since datagrams get lost, so that it can
   * refute.
   */
  private void notifySuspect(final Member member) {
    if (members.get(member.address) == member && member.state == Member.SUSPECT && !left) {
      send(member.address, new Ack());
      context.schedule(SUSPICION_TIMEOUT_MS / 4, () -> notifySuspect(member));
    }
  }

  private void setState(final Member member, final int standing) {
    member.state = standing;
    changedMs.put(member.address, context.nowMs());
    scheduleUpdate(member.address);
  }

  void expireMembers() {
    final long nowMs = context.nowMs();
    for (final Iterator<Member> each = members.values().iterator(); each.hasNext(); ) {
      final Member member = each.next();
      final long sinceMs = nowMs - changedMs.getOrDefault(member.address, nowMs);
      if (member.state == Member.SUSPECT && sinceMs > SUSPICION_TIMEOUT_MS) {
        LogEvent.MEMBER_REMOVED.info(describe(member));
        setState(member, Member.GONE);
      } else if (!member.isUp() && sinceMs > DEAD_MEMBER_RETENTION_MS) {
        each.remove();
        changedMs.remove(member.address);
      }
    }
  }

  void send(final String address, final MembershipMessage message) {
    message.sender = self.copy();
    // A receiver that is not believed to be alive is told so first: if it runs, it refutes that.
    final Member receiver = members.get(address);
    if (receiver != null && receiver.state != Member.UP) {
      message.updates.add(receiver.copy());
    }
    for (final String updatedAddress : List.copyOf(pendingUpdates.keySet())) {
      if (message.updates.size() >= MAX_UPDATES_PER_PING) {
        break;
      }
      final int left = pendingUpdates.merge(updatedAddress, -1, Integer::sum);
      if (left <= 0) {
        pendingUpdates.remove(updatedAddress);
      }
      final Member known = members.get(updatedAddress);
      if (known != null) {
        message.updates.add(known.copy());
      }
    }
    sender.accept(address, message);
  }

  /** Takes a datagram; what is no membership message is dropped. */
  public void onMessage(final String from, final Object taken) {
    if (!(taken instanceof MembershipMessage message) || message.sender == null) {
      return;
    }
    final long numberBefore = self.incarnation;
    onUpdate(message.sender, true);
    // What comes with a whole list is not passed on: a hundred processes that start together would
    // tell each other a hundred lists.
    message.updates.forEach(news -> onUpdate(news, !(message instanceof SyncResponse)));
    if (self.incarnation != numberBefore) {
      // A refutation goes straight back to whoever suspected this process.
      send(from, new Ack());
    }
    if (message instanceof SyncRequest syncRequest) {
      seedJoiner.respond(from, syncRequest);
    } else {
      failureDetector.onMessage(from, message);
    }
  }

  private void onUpdate(final Member news, final boolean passedOn) {
    if (news.address.equals(self.address)) {
      // An update about an earlier life, or a suspicion: refuted by a higher incarnation.
      if (!left
          && news.incarnation >= self.incarnation
          && (news.life != self.life || news.state != Member.UP)) {
        refute(news.incarnation + 1);
      }
      return;
    }
    final Member known = members.get(news.address);
    if (known == null) {
      // An unknown member that is gone already is ignored.
      if (news.isUp()) {
        members.put(news.address, news);
        changedMs.put(news.address, context.nowMs());
        if (passedOn) {
          scheduleUpdate(news.address);
        }
        LogEvent.MEMBER_JOINED.info(news.node + " " + news.role);
      }
    } else if (news.supersedes(known)) {
      members.put(news.address, news);
      setState(news, news.state);
    }
  }
}
