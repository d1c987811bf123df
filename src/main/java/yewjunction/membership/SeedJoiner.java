package yewjunction.membership;

import static yewjunction.limits.MembershipLimits.FIRST_SYNC_INTERVAL_MS;
import static yewjunction.limits.MembershipLimits.MAX_MEMBERS_PER_DATAGRAM;
import static yewjunction.limits.MembershipLimits.MAX_SYNC_INTERVAL_MS;
import static yewjunction.limits.MembershipLimits.SEED_SYNCS_AT_START;
import static yewjunction.limits.MembershipLimits.SEED_SYNC_EVERY;

import java.util.ArrayList;
import java.util.List;
import yewjunction.common.AgentContext;
import yewjunction.membership.MembershipMessages.SyncRequest;
import yewjunction.membership.MembershipMessages.SyncResponse;

/**
 * Asks seeds, and later members of the own zone, for the whole list, at intervals that grow; and
 * answers others that ask. So a new process learns of the others at once, and a list that has split
 * heals.
 *
 * <p>Owned by {@link MembershipList}; all calls on the agent's thread.
 */
final class SeedJoiner {
  private final AgentContext context;
  private final MembershipList membership;
  private List<String> seeds = List.of();
  private long intervalMs = FIRST_SYNC_INTERVAL_MS;
  private int syncsSent;

  SeedJoiner(final AgentContext context, final MembershipList membership) {
    this.context = context;
    this.membership = membership;
  }

  void setSeeds(final List<String> newSeeds) {
    seeds = newSeeds;
  }

  /**
   * Asks for the list now and at growing intervals: seeds themselves learn only by and by who
   * started together with this process, and updates on pings take tens of seconds to tell of a
   * hundred. Later it heals a list that has split.
   */
  void start() {
    if (membership.hasLeft()) {
      return;
    }
    final List<String> others = new ArrayList<>(seeds);
    others.remove(membership.self().address);
    // Once others are known, a member of the own zone knows as much and its bytes cost nothing;
    // seeds are asked now and then. Not at first: where all have started together, neighbours know
    // as little.
    if (++syncsSent > SEED_SYNCS_AT_START && context.random().nextInt(SEED_SYNC_EVERY) > 0) {
      final List<String> near =
          membership.all().stream()
              .filter(
                  member ->
                      member.isUp()
                          && !NodeRole.EDGE.is(member.role)
                          && member.zone.equals(membership.self().zone))
              .map(member -> member.address)
              .sorted()
              .toList();
      if (!near.isEmpty()) {
        others.clear();
        others.addAll(near);
      }
    }
    if (!others.isEmpty()) {
      final SyncRequest syncRequest = new SyncRequest();
      syncRequest.digest = digest();
      membership.send(others.get(context.random().nextInt(others.size())), syncRequest);
    }
    context.schedule(intervalMs, this::start);
    if (!membership.all().isEmpty()) {
      intervalMs = Math.min(MAX_SYNC_INTERVAL_MS, 3 * intervalMs);
    }
  }

  private long digest() {
    long sum = membership.self().digest();
    for (final Member member : membership.all()) {
      sum += member.isUp() ? member.digest() : 0;
    }
    return sum;
  }

  /**
   * Sends the whole list, in datagrams of bounded size, or only this process to one that knows the
   * same list.
   */
  void respond(final String from, final SyncRequest syncRequest) {
    SyncResponse syncResponse = new SyncResponse();
    if (syncRequest.digest == digest()) {
      membership.send(from, syncResponse);
      return;
    }
    for (final Member member : membership.all()) {
      if (member.isUp()) {
        syncResponse.updates.add(member.copy());
      }
      if (syncResponse.updates.size() == MAX_MEMBERS_PER_DATAGRAM) {
        membership.send(from, syncResponse);
        syncResponse = new SyncResponse();
      }
    }
    membership.send(from, syncResponse);
  }
}
