package yewjunction.simulation;

import static yewjunction.limits.TransportLimits.CONNECTION_TIMEOUT_MS;
import static yewjunction.limits.TransportLimits.CONNECT_TIMEOUT_MS;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import yewjunction.common.MessageCodec;
import yewjunction.common.MessageHandlers;
import yewjunction.common.PeerConnection;
import yewjunction.common.PeerTransport;

/** Connections over the simulated network; every message is encoded and decoded as on the wire. */
public final class SimulatedTransport implements PeerTransport {
  final MessageCodec codec = new MessageCodec();
  private final SimulatedHost host;
  private final int life;
  private final Map<String, End> connectionByAddress = new HashMap<>();
  private final List<End> ends = new ArrayList<>();
  private final MessageHandlers handlers = new MessageHandlers();
  private final List<Consumer<PeerConnection>> closeHandlers = new ArrayList<>();

  SimulatedTransport(final SimulatedHost host) {
    this.host = host;
    life = host.life();
    yewjunction.raft.RaftMessages.register(codec);
    yewjunction.membership.MembershipMessages.register(codec);
    yewjunction.control.LeaseMessages.register(codec);
    yewjunction.store.AdmissionMessages.register(codec);
    yewjunction.fanout.FanoutMessages.register(codec);
  }

  /** One side of a connection. */
  private static final class End implements PeerConnection {
    private final SimulatedTransport owner;
    private final String remote;
    private End remoteEnd;
    private boolean open = true;
    private boolean connected;
    private final List<byte[]> early = new ArrayList<>();
    private final List<byte[]> heldUp = new ArrayList<>();
    private long heldMs;
    private long lastArrivalMicros;

    End(final SimulatedTransport owner, final String remote) {
      this.owner = owner;
      this.remote = remote;
      owner.ends.add(this);
    }

    @Override
    public boolean send(final Object message) {
      if (!open) {
        return false;
      }
      final byte[] bytes = owner.codec.encode(message);
      if (owner.host.network.meter != null) {
        owner.host.network.meter.sent(owner.host.address, remote, message, bytes.length);
      }
      if (connected) {
        deliver(bytes);
      } else {
        early.add(bytes);
      }
      return true;
    }

    private void deliver(final byte[] bytes) {
      final SimulatedNetwork network = owner.host.network;
      final End target = remoteEnd;
      if (!heldUp.isEmpty() || network.parted(owner.host.address, target.owner.host.address)) {
        heldUp.add(bytes);
        if (heldUp.size() == 1) {
          heldMs = network.nowMs();
          tryAgain();
        }
        return;
      }
      lastArrivalMicros =
          Math.max(
              lastArrivalMicros + 1,
              network.nowMicros()
                  + network.linkMicros(owner.host.address, bytes.length)
                  + network.delayMicros(owner.host.address, target.owner.host.address));
      network.afterMicros(
          lastArrivalMicros - network.nowMicros(),
          () ->
              target.owner.host.guarded(
                  target.owner.life,
                  () -> {
                    if (target.open) {
                      target.owner.onMessageReceived(target, bytes);
                    }
                  }));
    }

    /**
     * Held up by a cut: sent again and again as TCP does, in order, until the silence ends the
     * connection on both sides.
     */
    private void tryAgain() {
      final SimulatedNetwork network = owner.host.network;
      if (!open || heldUp.isEmpty()) {
        return;
      }
      if (!network.parted(owner.host.address, remoteEnd.owner.host.address)) {
        final List<byte[]> late = new ArrayList<>(heldUp);
        heldUp.clear();
        late.forEach(this::deliver);
      } else if (network.nowMs() - heldMs > CONNECTION_TIMEOUT_MS) {
        close();
        remoteEnd.close();
      } else {
        network.after(100, this::tryAgain);
      }
    }

    void connect(final SimulatedHost targetHost) {
      final SimulatedNetwork network = owner.host.network;
      network.after(
          CONNECT_TIMEOUT_MS,
          () -> {
            if (!connected) {
              close();
            }
          });
      network.afterMicros(
          2 * network.delayMicros(),
          () -> {
            if (!open
                || targetHost == null
                || targetHost.isolated()
                || network.parted(owner.host.address, remote)
                || network.parted(remote, owner.host.address)) {
              return;
            }
            if (!targetHost.up()) {
              close();
              return;
            }
            remoteEnd = new End(targetHost.post, owner.host.address);
            remoteEnd.remoteEnd = this;
            remoteEnd.connected = true;
            connected = true;
            early.forEach(this::deliver);
            early.clear();
          });
    }

    @Override
    public void close() {
      if (!open) {
        return;
      }
      end();
      if (remoteEnd != null) {
        notifyRemote();
      }
    }

    /** Through a cut no word of the end comes: the far side notices the silence. */
    private void notifyRemote() {
      final SimulatedNetwork network = owner.host.network;
      network.afterMicros(
          network.parted(owner.host.address, remote)
              ? 1_000 * CONNECTION_TIMEOUT_MS
              : network.delayMicros(),
          remoteEnd::end);
    }

    private void end() {
      if (open) {
        open = false;
        owner.ends.remove(this);
        owner.connectionByAddress.remove(remote, this);
        owner.host.network.afterMicros(
            5,
            () ->
                owner.host.guarded(
                    owner.life, () -> owner.closeHandlers.forEach(closer -> closer.accept(this))));
      }
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

  @Override
  public PeerConnection connect(final String address) {
    End end = connectionByAddress.get(address);
    if (end == null || !end.open) {
      end = new End(this, address);
      connectionByAddress.put(address, end);
      end.connect(host.network.known(address));
    }
    return end;
  }

  @Override
  public <T> void onMessage(final Class<T> kind, final BiConsumer<PeerConnection, T> handler) {
    handlers.register(kind, handler);
  }

  @Override
  public void onClose(final Consumer<PeerConnection> handler) {
    closeHandlers.add(handler);
  }

  private void onMessageReceived(final End end, final byte[] bytes) {
    final Object message = codec.decode(bytes, 0, bytes.length);
    host.messageFilter.accept(message);
    if (host.network.meter != null) {
      host.network.meter.received(host.address, message, bytes.length);
    }
    handlers.dispatch(end, message);
  }

  /** Every connection breaks as by a reset that both sides see. */
  void reset() {
    for (final End end : List.copyOf(ends)) {
      end.end();
      if (end.remoteEnd != null) {
        end.remoteEnd.end();
      }
    }
  }

  /**
   * All connections end: with resets when the machine still answers, else only once the far side
   * notices the silence.
   */
  void drop(final boolean resets) {
    for (final End end : List.copyOf(ends)) {
      end.open = false;
      final End far = end.remoteEnd;
      if (far != null && resets) {
        end.notifyRemote();
      } else if (far != null) {
        host.network.after(CONNECTION_TIMEOUT_MS, far::end);
      }
    }
    ends.clear();
    connectionByAddress.clear();
  }
}
