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
  /** Starts the node. */
  void start();

  /** Hands over what the node is responsible for, and calls back when that is done. */
  void stop(Runnable ended);

  /** The settings file changed. */
  default void onSettingsChanged(final Settings fresh) {}

  /**
   * Addresses of control nodes, those of the own zone first; before the membership list knows any,
   * those of the seeds.
   */
  static List<String> controlNodeAddresses(
      final MembershipList membership, final Settings settings) {
    final List<String> known = addresses(membership, NodeRole.CONTROL);
    return known.isEmpty() ? settings.controlNodeAddresses() : known;
  }

  /** Addresses of the members of a role that are up, those of the own zone first. */
  static List<String> addresses(final MembershipList membership, final NodeRole role) {
    return membership.membersUp(role).stream().map(member -> member.address).toList();
  }

  /**
   * Whether a replica's clients count as connected: its process is up, as far as the membership
   * list knows.
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
