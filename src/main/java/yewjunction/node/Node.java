package yewjunction.node;

import java.util.List;
import yewjunction.control.LeaseClient;
import yewjunction.membership.Member;
import yewjunction.membership.MembershipList;
import yewjunction.membership.NodeRole;
import yewjunction.settings.Settings;
import yewjunction.subscription.AddWinsSet;

/** One process's duty. All calls on the owner's thread. */
public interface Node {
  /** Takes up the node's duties. */
  void start();

  /** Gives up its duties, then calls back when nothing is owed any more. */
  void stop(Runnable ended);

  /** The settings file changed. */
  default void onSettingsChanged(final Settings fresh) {}

  /**
   * Control nodes, nearest first; before the membership list knows any, those on the seeds'
   * machines.
   */
  static List<String> controlNodeAddresses(
      final MembershipList membership, final Settings settings) {
    final List<String> known = addresses(membership, NodeRole.CONTROL);
    return known.isEmpty() ? settings.controlNodeAddresses() : known;
  }

  /** Peer addresses of a duty, own zone first, as the membership list knows them now. */
  static List<String> addresses(final MembershipList membership, final NodeRole role) {
    return membership.membersUp(role).stream().map(member -> member.address).toList();
  }

  /**
   * Whether a replica's clients count as there: its process is up, as far as the membership list
   * knows.
   */
  static boolean isLive(
      final long replica,
      final AddWinsSet subscriptions,
      final LeaseClient leaseClient,
      final MembershipList membership) {
    final String address = leaseClient.clusterState().addressOf(replica);
    final Member member = address == null ? null : membership.memberAt(address);
    return replica == subscriptions.self() || member != null && member.isUp();
  }
}
