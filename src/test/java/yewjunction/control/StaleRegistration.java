package yewjunction.control;

import yewjunction.control.LeaseMessages.RegisterRequest;
import yewjunction.membership.NodeRole;

/** Plants a fault: a letter that asks for a replica's name for a life of a process that is over. */
public final class StaleRegistration {
  private StaleRegistration() {}

  public static Object enlist(final String address, final long life) {
    final RegisterRequest enlist = new RegisterRequest();
    enlist.who.address = address;
    enlist.who.node = "node-" + address;
    enlist.who.duty = NodeRole.EDGE.wireName();
    enlist.who.life = life;
    return enlist;
  }
}
