package yewjunction.raft;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import yewjunction.common.MessageCodec;
import yewjunction.common.MessageHandlers;
import yewjunction.common.PeerConnection;
import yewjunction.common.PeerTransport;

/**
 * Connections whose messages, encoded as on the wire, wait until the scheduler delivers them or
 * breaks the connection.
 */
final class ModelTransport implements PeerTransport {
  private static final ThreadLocal<MessageCodec> CODECS =
      ThreadLocal.withInitial(
          () -> {
            final MessageCodec codec = new MessageCodec();
            RaftMessages.register(codec);
            return codec;
          });

  /** In the place of a message: the connection is gone. */
  static final byte[] CLOSE = new byte[0];

  private final ModelHost host;
  private final MessageHandlers handlers = new MessageHandlers();
  private final List<Consumer<PeerConnection>> closeHandlers = new ArrayList<>();

  ModelTransport(final ModelHost host) {
    this.host = host;
  }

  /** One connection, both directions of it. */
  static final class Connection {
    final End initiator;
    final End acceptor;
    boolean intact = true;

    Connection(final ModelHost from, final ModelHost to) {
      initiator = new End(this, from, to.address);
      acceptor = new End(this, to, from.address);
    }

    boolean isOver() {
      return !initiator.open && !acceptor.open;
    }

    /** Messages in flight are lost; each end notices it later, and in its own time. */
    void breakDown() {
      intact = false;
      for (final End end : List.of(initiator, acceptor)) {
        end.inbound.clear();
        if (end.open) {
          end.inbound.add(CLOSE);
        }
      }
    }
  }

  /** One side of a connection. */
  static final class End implements PeerConnection {
    final Connection connection;
    final ModelHost owner;
    private final String remote;

    /** What is on its way to this side. */
    final ArrayDeque<byte[]> inbound = new ArrayDeque<>();

    boolean open = true;

    End(final Connection connection, final ModelHost owner, final String remote) {
      this.connection = connection;
      this.owner = owner;
      this.remote = remote;
    }

    End remoteEnd() {
      return this == connection.initiator ? connection.acceptor : connection.initiator;
    }

    @Override
    public boolean send(final Object message) {
      if (!open) {
        return false;
      }
      owner.world.sent++;
      if (connection.intact) {
        remoteEnd().inbound.add(CODECS.get().encode(message));
      }
      return true;
    }

    /** The oldest message arrives. */
    void deliver() {
      final byte[] bytes = inbound.poll();
      if (bytes == CLOSE) {
        open = false;
        if (owner.world.fault != ModelFault.CLOSE_UNTOLD || owner != connection.initiator.owner) {
          owner.transport.closeHandlers.forEach(closer -> closer.accept(this));
        } else {
          // Planted: still thought to be open, and nothing sent on it arrives.
          open = true;
        }
      } else {
        owner.transport.onMessageReceived(this, CODECS.get().decode(bytes, 0, bytes.length));
      }
      owner.runCommands();
    }

    @Override
    public void close() {
      throw new UnsupportedOperationException("a Raft node closes no connections");
    }

    @Override
    public boolean isOpen() {
      return open;
    }

    @Override
    public String remoteAddress() {
      return remote;
    }
  }

  private void onMessageReceived(final End end, final Object message) {
    if (host.world.fault == ModelFault.ROUND_MADE_UP
        && message instanceof RaftMessages.AppendEntriesResponse response) {
      response.round += 1;
    }
    if (!handlers.dispatch(end, message)) {
      throw new IllegalStateException("no handler for " + message.getClass());
    }
  }

  /** The process is gone: what it sent may still arrive, what is on its way to it does not. */
  void onProcessEnded() {
    for (final Connection connection : host.world.connections) {
      final End own =
          connection.initiator.owner == host
              ? connection.initiator
              : connection.acceptor.owner == host ? connection.acceptor : null;
      if (own != null && own.open) {
        own.open = false;
        own.inbound.clear();
        if (connection.intact) {
          own.remoteEnd().inbound.add(CLOSE);
        }
        connection.intact = false;
      }
    }
    host.world.connections.removeIf(Connection::isOver);
  }

  @Override
  public PeerConnection connect(final String address) {
    for (final Connection connection : host.world.connections) {
      if (connection.initiator.owner == host
          && connection.initiator.open
          && connection.acceptor.owner.address.equals(address)) {
        return connection.initiator;
      }
    }
    final ModelHost target = host.world.at(address);
    final Connection connection = new Connection(host, target);
    host.world.connections.add(connection);
    if (!target.up()) {
      connection.intact = false;
      connection.acceptor.open = false;
      connection.initiator.inbound.add(CLOSE);
    }
    return connection.initiator;
  }

  @Override
  public <T> void onMessage(final Class<T> kind, final BiConsumer<PeerConnection, T> handler) {
    handlers.register(kind, handler);
  }

  @Override
  public void onClose(final Consumer<PeerConnection> handler) {
    closeHandlers.add(handler);
  }
}
