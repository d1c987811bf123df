package yewjunction.transport;

import static yewjunction.common.Limits.BACKLOG;
import static yewjunction.common.Limits.LINK_BEAT_MS;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
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
import yewjunction.common.PeerConnection;
import yewjunction.common.PeerTransport;

/** All peer links of a process over TCP. */
public class TcpPeerTransport implements PeerTransport {
  private final EventLoopAgent loom;
  private final MessageCodec codec;
  private final InetSocketAddress own;
  private final Map<String, TcpPeerConnection> dialled = new HashMap<>();
  private final Set<TcpPeerConnection> wires = new HashSet<>();
  private final Map<Class<?>, BiConsumer<PeerConnection, Object>> handlers = new HashMap<>();
  private final List<Consumer<PeerConnection>> closers = new ArrayList<>();

  public TcpPeerTransport(
      final EventLoopAgent loom, final MessageCodec codec, final InetSocketAddress own) {
    this.loom = loom;
    this.codec = codec;
    this.own = own;
    try {
      final ServerSocketChannel server = ServerSocketChannel.open();
      server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
      server.bind(own, BACKLOG);
      server.configureBlocking(false);
      server.register(
          loom.selector(),
          SelectionKey.OP_ACCEPT,
          (EventLoopAgent.ReadyHandler) key -> take(server));
    } catch (final IOException defect) {
      throw new UncheckedIOException("cannot listen for peers on " + own, defect);
    }
    loom.every(LINK_BEAT_MS / 2, this::beat);
  }

  private void take(final ServerSocketChannel server) throws IOException {
    SocketChannel channel;
    while ((channel = server.accept()) != null) {
      wires.add(new TcpPeerConnection(this, loom, codec, channel, null));
    }
  }

  private void beat() {
    final long nowMs = loom.nowMs();
    for (final TcpPeerConnection wire : new ArrayList<>(wires)) {
      wire.beat(nowMs);
    }
  }

  @Override
  public PeerConnection dial(final String address) {
    final TcpPeerConnection known = dialled.get(address);
    if (known != null && known.open()) {
      return known;
    }
    TcpPeerConnection wire = null;
    SocketChannel channel = null;
    try {
      channel = channel();
      // The own address as source: the platform's links belong to the machine's address.
      channel.bind(new InetSocketAddress(own.getAddress(), 0));
      wire = new TcpPeerConnection(this, loom, codec, channel, address);
      wires.add(wire);
      dialled.put(address, wire);
      wire.connect();
    } catch (final IOException defect) {
      if (wire == null) {
        // No descriptor is left, perhaps: a link that broke at once. Whoever dialled has more to do
        // in this turn.
        shut(channel);
        final PeerConnection lost = new FailedConnection(address);
        loom.post(() -> closers.forEach(closer -> closer.accept(lost)));
        return lost;
      }
      wire.close();
    }
    return wire;
  }

  private static void shut(final SocketChannel channel) {
    try {
      if (channel != null) {
        channel.close();
      }
    } catch (final IOException ignored) {
      // It was of no use anyway.
    }
  }

  SocketChannel channel() throws IOException {
    return SocketChannel.open();
  }

  /** A link that never was open. */
  private static final class FailedConnection implements PeerConnection {
    private final String remote;

    FailedConnection(final String remote) {
      this.remote = remote;
    }

    @Override
    public String remote() {
      return remote;
    }

    @Override
    public boolean send(final Object letter) {
      return false;
    }

    @Override
    public boolean open() {
      return false;
    }

    @Override
    public void close() {
      // Nothing to close.
    }
  }

  @Override
  public <T> void on(final Class<T> kind, final BiConsumer<PeerConnection, T> handler) {
    handlers.put(kind, (link, letter) -> handler.accept(link, kind.cast(letter)));
  }

  @Override
  public void onClose(final Consumer<PeerConnection> handler) {
    closers.add(handler);
  }

  void deliver(final TcpPeerConnection wire, final Object letter) {
    final BiConsumer<PeerConnection, Object> handler = handlers.get(letter.getClass());
    if (handler != null) {
      handler.accept(wire, letter);
    }
  }

  void gone(final TcpPeerConnection wire) {
    wires.remove(wire);
    if (wire.dialledAddress() != null) {
      dialled.remove(wire.dialledAddress(), wire);
    }
    // Told on a later turn, so that nobody's table changes while it is being walked.
    loom.post(() -> closers.forEach(closer -> closer.accept(wire)));
  }
}
