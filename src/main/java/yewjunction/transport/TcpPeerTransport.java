package yewjunction.transport;

import static yewjunction.limits.TransportLimits.CONNECTION_HEARTBEAT_INTERVAL_MS;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import yewjunction.common.MessageCodec;
import yewjunction.common.MessageHandlers;
import yewjunction.common.PeerConnection;
import yewjunction.common.PeerTransport;

/**
 * All connections of a process to other nodes over TCP. Owns them, and closes one that has been
 * silent for CONNECTION_TIMEOUT_MS. All calls on the agent's thread.
 */
public class TcpPeerTransport implements PeerTransport {
  private final EventLoopAgent agent;
  private final MessageCodec codec;
  private final InetSocketAddress localAddress;
  private final Map<String, TcpPeerConnection> connectionByAddress = new HashMap<>();
  private final Set<TcpPeerConnection> connections = new HashSet<>();
  private final MessageHandlers handlers = new MessageHandlers();
  private final List<Consumer<PeerConnection>> closeHandlers = new ArrayList<>();

  /**
   * Listens for other nodes.
   *
   * @throws java.io.UncheckedIOException when the address cannot be bound
   */
  public TcpPeerTransport(
      final EventLoopAgent agent, final MessageCodec codec, final InetSocketAddress localAddress) {
    this.agent = agent;
    this.codec = codec;
    this.localAddress = localAddress;
    ServerSockets.listen(
        agent,
        localAddress,
        "peers",
        channel -> connections.add(new TcpPeerConnection(this, agent, codec, channel, null)));
    agent.scheduleAtFixedRate(CONNECTION_HEARTBEAT_INTERVAL_MS / 2, this::heartbeat);
  }

  private void heartbeat() {
    final long nowMs = agent.nowMs();
    for (final TcpPeerConnection connection : new ArrayList<>(connections)) {
      connection.heartbeat(nowMs);
    }
  }

  @Override
  public PeerConnection connect(final String address) {
    final TcpPeerConnection existing = connectionByAddress.get(address);
    if (existing != null && existing.isOpen()) {
      return existing;
    }
    TcpPeerConnection connection = null;
    SocketChannel channel = null;
    try {
      channel = channel();
      // Bound to the own address: the machine may have others.
      channel.bind(new InetSocketAddress(localAddress.getAddress(), 0));
      connection = new TcpPeerConnection(this, agent, codec, channel, address);
      connections.add(connection);
      connectionByAddress.put(address, connection);
      connection.connect();
    } catch (final IOException failure) {
      if (connection == null) {
        // Perhaps no descriptor is left. Reported as a connection that broke at once: the caller
        // has more to do in this turn.
        closeQuietly(channel);
        final PeerConnection lost = new FailedConnection(address);
        agent.execute(() -> closeHandlers.forEach(closer -> closer.accept(lost)));
        return lost;
      }
      connection.close();
    }
    return connection;
  }

  private static void closeQuietly(final SocketChannel channel) {
    try {
      if (channel != null) {
        channel.close();
      }
    } catch (final IOException ignored) {
      // The channel is of no use any more.
    }
  }

  SocketChannel channel() throws IOException {
    return SocketChannel.open();
  }

  /** A connection that never was open. */
  private static final class FailedConnection implements PeerConnection {
    private final String remote;

    FailedConnection(final String remote) {
      this.remote = remote;
    }

    @Override
    public String remoteAddress() {
      return remote;
    }

    @Override
    public boolean send(final Object message) {
      return false;
    }

    @Override
    public boolean isOpen() {
      return false;
    }

    @Override
    public void close() {
      // Nothing to close.
    }
  }

  @Override
  public <T> void onMessage(final Class<T> kind, final BiConsumer<PeerConnection, T> handler) {
    handlers.register(kind, handler);
  }

  @Override
  public void onClose(final Consumer<PeerConnection> handler) {
    closeHandlers.add(handler);
  }

  void deliver(final TcpPeerConnection connection, final Object message) {
    handlers.dispatch(connection, message);
  }

  void onClosed(final TcpPeerConnection connection) {
    connections.remove(connection);
    if (connection.targetAddress() != null) {
      connectionByAddress.remove(connection.targetAddress(), connection);
    }
    // Reported on a later turn, so that no table changes while it is being iterated.
    agent.execute(() -> closeHandlers.forEach(closer -> closer.accept(connection)));
  }
}
