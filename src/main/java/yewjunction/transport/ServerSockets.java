package yewjunction.transport;

import static yewjunction.limits.TransportLimits.ACCEPT_BACKLOG;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;

/** Listening sockets that live as long as their process. */
final class ServerSockets {
  private ServerSockets() {}

  /** Takes a connection that came in. */
  interface AcceptHandler {
    void onAccepted(SocketChannel channel) throws IOException;
  }

  /**
   * Accepts connections on an address, on the agent's thread.
   *
   * @param callers who connects there, for the text of the failure
   * @throws UncheckedIOException when the address cannot be bound
   */
  static void listen(
      final EventLoopAgent agent,
      final InetSocketAddress address,
      final String callers,
      final AcceptHandler handler) {
    try {
      final ServerSocketChannel server = ServerSocketChannel.open();
      server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
      server.bind(address, ACCEPT_BACKLOG);
      server.configureBlocking(false);
      server.register(
          agent.selector(),
          SelectionKey.OP_ACCEPT,
          (EventLoopAgent.ReadyHandler) key -> acceptAll(server, handler));
    } catch (final IOException failure) {
      throw new UncheckedIOException("cannot listen for " + callers + " on " + address, failure);
    }
  }

  private static void acceptAll(final ServerSocketChannel server, final AcceptHandler handler)
      throws IOException {
    SocketChannel channel;
    while ((channel = server.accept()) != null) {
      handler.onAccepted(channel);
    }
  }
}
