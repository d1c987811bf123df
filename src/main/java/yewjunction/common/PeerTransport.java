package yewjunction.common;

import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Messages to and from other nodes over ordered connections. All calls and handlers on the agent's
 * thread.
 */
public interface PeerTransport {
  /**
   * The open connection to an address, else a new one. Never null; a connection that cannot be
   * opened is closed later.
   */
  PeerConnection connect(String address);

  /** Registers the one handler of a type of message; it runs on the agent's thread. */
  <T> void onMessage(Class<T> kind, BiConsumer<PeerConnection, T> handler);

  /**
   * Adds a handler that is called once for each connection that ended, on a later turn of the
   * agent.
   */
  void onClose(Consumer<PeerConnection> handler);
}
