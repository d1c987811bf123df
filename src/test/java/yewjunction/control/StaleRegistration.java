package yewjunction.control;

import yewjunction.control.LeaseMessages.RegisterRequest;
import yewjunction.membership.NodeRole;

/**
 * Plants a fault: a message that asks for a replica's name for a life of a process that is over.
 */
public final class StaleRegistration {
  private StaleRegistration() {}

  public static Object registerRequest(final String address, final long life) {
    final RegisterRequest request = new RegisterRequest();
    request.process.address = address;
    request.process.node = "node-" + address;
    request.process.role = NodeRole.EDGE.wireName();
    request.process.life = life;
    return request;
  }
}
