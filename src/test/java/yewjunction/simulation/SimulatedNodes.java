package yewjunction.simulation;

import yewjunction.membership.Member;
import yewjunction.membership.MembershipList;
import yewjunction.membership.NodeRole;
import yewjunction.node.ControlNode;
import yewjunction.node.EdgeNode;
import yewjunction.node.Node;
import yewjunction.node.StoreNode;
import yewjunction.settings.Settings;

/** Starts a process's real code on a simulated machine, as the command line does on a real one. */
public final class SimulatedNodes {
  private SimulatedNodes() {}

  /** A started node and its membership list. */
  public record Running(Node node, MembershipList membership) {}

  public static Running boot(
      final SimulatedHost host, final Settings settings, final NodeRole role, final long life) {
    final SimulatedTransport post = host.boot();
    final Member self = new Member();
    self.address = host.address;
    self.node = settings.node();
    self.zone = settings.zone();
    self.role = role.wireName();
    self.clientAddress = role == NodeRole.EDGE ? settings.clientAddress() : "";
    self.life = life;
    final MembershipList membership = new MembershipList(host, self, host::datagram);
    host.onDatagram(membership::onMessage);
    final Node node =
        switch (role) {
          case CONTROL ->
              new ControlNode(host, post, host.disk, host.executor(), membership, settings, life);
          case STORE ->
              new StoreNode(host, post, host.disk, host.executor(), membership, settings, life);
          case EDGE -> new EdgeNode(host, post, membership, settings, life);
        };
    membership.start(settings.controlNodeAddresses());
    node.start();
    return new Running(node, membership);
  }
}
