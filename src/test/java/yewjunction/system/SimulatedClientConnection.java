package yewjunction.system;

import java.nio.charset.StandardCharsets;
import yewjunction.simulation.SimulatedHost;
import yewjunction.transport.ClientConnection;
import yewjunction.transport.WriteBuffer;

/** The edge's side of the connection; latency both ways. */
final class SimulatedClientConnection implements ClientConnection {
  final String edge;
  final FrameSplitter frames = new FrameSplitter();
  private final SimulatedCluster cluster;
  private final SimulatedClient client;
  private final SimulatedHost host;
  private final int life;
  private final WriteBuffer out = new WriteBuffer(256);
  private ClientConnection.Handler owner;
  private boolean up = true;
  private boolean flushing;
  private byte[] unread = new byte[0];

  SimulatedClientConnection(
      final SimulatedCluster cluster, final SimulatedClient client, final String edge) {
    this.cluster = cluster;
    this.client = client;
    this.edge = edge;
    host = cluster.network.host(edge);
    life = host.life();
  }

  void receive(final String text) {
    cluster.network.after(
        1,
        () ->
            host.guarded(
                life,
                () -> {
                  if (!up) {
                    return;
                  }
                  if (owner == null) {
                    owner = cluster.edge(edge).newHandler(this);
                  }
                  final byte[] more = text.getBytes(StandardCharsets.US_ASCII);
                  final byte[] all = new byte[unread.length + more.length];
                  System.arraycopy(unread, 0, all, 0, unread.length);
                  System.arraycopy(more, 0, all, unread.length, more.length);
                  final int taken = owner.onReceived(all, all.length);
                  unread = java.util.Arrays.copyOfRange(all, taken, all.length);
                }));
  }

  @Override
  public WriteBuffer out() {
    if (!flushing) {
      flushing = true;
      cluster.network.after(
          client.readingPausedMs(),
          () -> {
            flushing = false;
            final String text = new String(out.take(), StandardCharsets.US_ASCII);
            cluster.network.after(1, () -> client.onReceived(this, text));
          });
    }
    return out;
  }

  @Override
  public int queuedBytes() {
    return out.size();
  }

  @Override
  public void closeAfterFlush() {
    close();
  }

  @Override
  public void close() {
    if (up) {
      up = false;
      if (owner != null) {
        host.guarded(life, owner::onClosed);
      }
      cluster.network.after(1, () -> client.onConnectionClosed(this));
    }
  }

  @Override
  public boolean isOpen() {
    return up;
  }
}
