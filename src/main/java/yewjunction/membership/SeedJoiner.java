package yewjunction.membership;

import static yewjunction.common.Limits.CREW_PER_LETTER;
import static yewjunction.common.Limits.HAIL_SEED_EVERY;
import static yewjunction.common.Limits.HAIL_SEED_FIRST;
import static yewjunction.common.Limits.JOIN_MS;
import static yewjunction.common.Limits.REJOIN_MS;

import java.util.ArrayList;
import java.util.List;
import yewjunction.common.AgentContext;
import yewjunction.membership.MembershipMessages.SyncRequest;
import yewjunction.membership.MembershipMessages.SyncResponse;

/** Asks seeds who is there, and tells others who ask. */
final class SeedJoiner {
  private final AgentContext pulse;
  private final MembershipList roster;
  private List<String> seeds = List.of();
  private long paceMs = JOIN_MS;
  private int hails;

  SeedJoiner(final AgentContext pulse, final MembershipList roster) {
    this.pulse = pulse;
    this.roster = roster;
  }

  void seeds(final List<String> newSeeds) {
    seeds = newSeeds;
  }

  /**
   * A newcomer asks again and again at a falling pace: the seeds themselves learn who started
   * together with it, and news that ride on probes take tens of seconds to tell of a hundred. Later
   * it heals a roster that split.
   */
  void start() {
    if (roster.left()) {
      return;
    }
    final List<String> others = new ArrayList<>(seeds);
    others.remove(roster.self().address);
    // Once others are known one of the own zone knows as much, and its bytes cost nothing; the
    // seeds now and then.
    // Not at first: where all have started together their neighbours know as little as they do.
    if (++hails > HAIL_SEED_FIRST && pulse.luck().nextInt(HAIL_SEED_EVERY) > 0) {
      final List<String> near =
          roster.all().stream()
              .filter(
                  peer ->
                      peer.up()
                          && !NodeRole.EDGE.is(peer.duty)
                          && peer.zone.equals(roster.self().zone))
              .map(peer -> peer.address)
              .sorted()
              .toList();
      if (!near.isEmpty()) {
        others.clear();
        others.addAll(near);
      }
    }
    if (!others.isEmpty()) {
      final SyncRequest hail = new SyncRequest();
      hail.digest = digest();
      roster.send(others.get(pulse.luck().nextInt(others.size())), hail);
    }
    pulse.after(paceMs, this::start);
    if (!roster.all().isEmpty()) {
      paceMs = Math.min(REJOIN_MS, 3 * paceMs);
    }
  }

  private long digest() {
    long sum = roster.self().digest();
    for (final Member peer : roster.all()) {
      sum += peer.up() ? peer.digest() : 0;
    }
    return sum;
  }

  /**
   * The whole crew, in datagrams of a bounded size; to one that knows the same only that this
   * process is there.
   */
  void answer(final String from, final SyncRequest hail) {
    SyncResponse crew = new SyncResponse();
    if (hail.digest == digest()) {
      roster.send(from, crew);
      return;
    }
    for (final Member peer : roster.all()) {
      if (peer.up()) {
        crew.news.add(peer.copy());
      }
      if (crew.news.size() == CREW_PER_LETTER) {
        roster.send(from, crew);
        crew = new SyncResponse();
      }
    }
    roster.send(from, crew);
  }
}
