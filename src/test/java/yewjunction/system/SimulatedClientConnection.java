package yewjunction.system;

import java.nio.charset.StandardCharsets;
import yewjunction.simulation.SimulatedHost;
import yewjunction.transport.ClientConnection;
import yewjunction.transport.WriteBuffer;

/** The edge's side of the connection; latency both ways. */
final class SimulatedClientConnection implements ClientConnection {
  final String edge;
  final FrameSplitter frames = new FrameSplitter();
  private final SimulatedCluster town;
  private final SimulatedClient customer;
  private final SimulatedHost host;
  private final int life;
  private final WriteBuffer out = new WriteBuffer(256);
  private ClientConnection.Handler owner;
  private boolean up = true;
  private boolean flushing;
  private byte[] unread = new byte[0];

  SimulatedClientConnection(
      final SimulatedCluster town, final SimulatedClient customer, final String edge) {
    this.town = town;
    this.customer = customer;
    this.edge = edge;
    host = town.world.host(edge);
    life = host.life();
  }

  void say(final String words) {
    town.world.after(
        1,
        () ->
            host.guarded(
                life,
                () -> {
                  if (!up) {
                    return;
                  }
                  if (owner == null) {
                    owner = town.edge(edge).greet(this);
                  }
                  final byte[] more = words.getBytes(StandardCharsets.US_ASCII);
                  final byte[] all = new byte[unread.length + more.length];
                  System.arraycopy(unread, 0, all, 0, unread.length);
                  System.arraycopy(more, 0, all, unread.length, more.length);
                  final int taken = owner.take(all, all.length);
                  unread = java.util.Arrays.copyOfRange(all, taken, all.length);
                }));
  }

  @Override
  public WriteBuffer out() {
    if (!flushing) {
      flushing = true;
      town.world.after(
          customer.stalledMs(),
          () -> {
            flushing = false;
            final String words = new String(out.take(), StandardCharsets.US_ASCII);
            town.world.after(1, () -> customer.hear(this, words));
          });
    }
    return out;
  }

  @Override
  public int waiting() {
    return out.size();
  }

  @Override
  public void closeSoon() {
    close();
  }

  @Override
  public void close() {
    if (up) {
      up = false;
      if (owner != null) {
        host.guarded(life, owner::closed);
      }
      town.world.after(1, () -> customer.closed(this));
    }
  }

  @Override
  public boolean open() {
    return up;
  }
}
