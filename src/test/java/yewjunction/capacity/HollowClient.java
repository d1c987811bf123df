package yewjunction.capacity;

import java.nio.charset.StandardCharsets;
import yewjunction.transport.ClientConnection;
import yewjunction.transport.WriteBuffer;

/** A client at an edge of a fleet that only counts what it is sent. */
final class HollowClient implements ClientConnection {
  private final HollowFleet fleet;
  private final WriteBuffer out = new WriteBuffer(256);
  private final ClientConnection.Handler owner;
  private boolean flushing;
  long messages;
  long bytes;
  long acknowledged;

  HollowClient(final HollowFleet fleet, final String edge, final String name) {
    this.fleet = fleet;
    owner = fleet.edge(edge).newHandler(this);
    say("HELLO " + name + " key0\r\n");
  }

  void say(final String text) {
    final byte[] said = text.getBytes(StandardCharsets.US_ASCII);
    owner.onReceived(said, said.length);
  }

  @Override
  public WriteBuffer out() {
    if (!flushing) {
      flushing = true;
      fleet.network.after(
          0,
          () -> {
            flushing = false;
            final byte[] heard = out.take();
            bytes += heard.length;
            count(heard);
          });
    }
    return out;
  }

  /** A line that begins so stands at the start, or behind an end of line. */
  private void count(final byte[] heard) {
    for (int at = 0; at + 3 < heard.length; at++) {
      if (at == 0 || heard[at - 1] == '\n') {
        messages += heard[at] == 'M' && heard[at + 1] == 'S' && heard[at + 2] == 'G' ? 1 : 0;
        acknowledged += heard[at] == 'A' && heard[at + 1] == 'C' && heard[at + 2] == 'K' ? 1 : 0;
      }
    }
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
    throw new IllegalStateException("a hollow client was cut");
  }

  @Override
  public boolean isOpen() {
    return true;
  }
}
