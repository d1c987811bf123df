package yewjunction.raft;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import yewjunction.common.MessageCodec;
import yewjunction.common.PeerConnection;
import yewjunction.common.PeerTransport;

/**
 * Links whose letters, encoded as on the wire, wait until the scheduler delivers them or breaks the
 * link.
 */
final class ModelTransport implements PeerTransport {
  private static final ThreadLocal<MessageCodec> CODECS =
      ThreadLocal.withInitial(
          () -> {
            final MessageCodec codec = new MessageCodec();
            RaftMessages.know(codec);
            return codec;
          });

  /** In the place of a letter: the link is gone. */
  static final byte[] CLOSE = new byte[0];

  private final ModelHost host;
  private final Map<Class<?>, BiConsumer<PeerConnection, Object>> handlers = new HashMap<>();
  private final List<Consumer<PeerConnection>> closers = new ArrayList<>();

  ModelTransport(final ModelHost host) {
    this.host = host;
  }

  /** One dialled connection, both directions of it. */
  static final class Connection {
    final End dialler;
    final End taker;
    boolean whole = true;

    Connection(final ModelHost from, final ModelHost to) {
      dialler = new End(this, from, to.address);
      taker = new End(this, to, from.address);
    }

    boolean over() {
      return !dialler.open && !taker.open;
    }

    /** What is under way is lost; each end hears of it later, and in its own time. */
    void snap() {
      whole = false;
      for (final End end : List.of(dialler, taker)) {
        end.inbound.clear();
        if (end.open) {
          end.inbound.add(CLOSE);
        }
      }
    }
  }

  /** One side of a link. */
  static final class End implements PeerConnection {
    final Connection wire;
    final ModelHost owner;
    private final String remote;

    /** What is on its way to this side. */
    final ArrayDeque<byte[]> inbound = new ArrayDeque<>();

    boolean open = true;

    End(final Connection wire, final ModelHost owner, final String remote) {
      this.wire = wire;
      this.owner = owner;
      this.remote = remote;
    }

    End far() {
      return this == wire.dialler ? wire.taker : wire.dialler;
    }

    @Override
    public boolean send(final Object letter) {
      if (!open) {
        return false;
      }
      owner.world.sent++;
      if (wire.whole) {
        far().inbound.add(CODECS.get().encode(letter));
      }
      return true;
    }

    /** The oldest letter arrives. */
    void deliver() {
      final byte[] bytes = inbound.poll();
      if (bytes == CLOSE) {
        open = false;
        if (owner.world.fault != ModelFault.CLOSE_UNTOLD || owner != wire.dialler.owner) {
          owner.post.closers.forEach(closer -> closer.accept(this));
        } else {
          // Planted: still thought to be open, and nothing sent on it arrives.
          open = true;
        }
      } else {
        owner.post.take(this, CODECS.get().decode(bytes, 0, bytes.length));
      }
      owner.runCommands();
    }

    @Override
    public void close() {
      throw new UnsupportedOperationException("a ledger closes no links");
    }

    @Override
    public boolean open() {
      return open;
    }

    @Override
    public String remote() {
      return remote;
    }
  }

  private void take(final End end, final Object letter) {
    if (host.world.fault == ModelFault.ROUND_MADE_UP
        && letter instanceof RaftMessages.AppendEntriesResponse answer) {
      answer.round += 1;
    }
    handlers.get(letter.getClass()).accept(end, letter);
  }

  /** The process is gone: what it sent may still arrive, what is on its way to it does not. */
  void died() {
    for (final Connection wire : host.world.wires) {
      final End own =
          wire.dialler.owner == host ? wire.dialler : wire.taker.owner == host ? wire.taker : null;
      if (own != null && own.open) {
        own.open = false;
        own.inbound.clear();
        if (wire.whole) {
          own.far().inbound.add(CLOSE);
        }
        wire.whole = false;
      }
    }
    host.world.wires.removeIf(Connection::over);
  }

  @Override
  public PeerConnection dial(final String address) {
    for (final Connection wire : host.world.wires) {
      if (wire.dialler.owner == host
          && wire.dialler.open
          && wire.taker.owner.address.equals(address)) {
        return wire.dialler;
      }
    }
    final ModelHost target = host.world.at(address);
    final Connection wire = new Connection(host, target);
    host.world.wires.add(wire);
    if (!target.up()) {
      wire.whole = false;
      wire.taker.open = false;
      wire.dialler.inbound.add(CLOSE);
    }
    return wire.dialler;
  }

  @Override
  public <T> void on(final Class<T> kind, final BiConsumer<PeerConnection, T> handler) {
    handlers.put(kind, (link, letter) -> handler.accept(link, kind.cast(letter)));
  }

  @Override
  public void onClose(final Consumer<PeerConnection> handler) {
    closers.add(handler);
  }
}
