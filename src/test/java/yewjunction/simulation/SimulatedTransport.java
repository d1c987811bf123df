package yewjunction.simulation;

import static yewjunction.common.Limits.DIAL_MS;
import static yewjunction.common.Limits.LINK_SILENCE_MS;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import yewjunction.common.MessageCodec;
import yewjunction.common.PeerConnection;
import yewjunction.common.PeerTransport;

/** Links over the simulated network; every letter is encoded and decoded as on the wire. */
public final class SimulatedTransport implements PeerTransport {
  final MessageCodec codec = new MessageCodec();
  private final SimulatedHost host;
  private final int life;
  private final Map<String, End> dialled = new HashMap<>();
  private final List<End> ends = new ArrayList<>();
  private final Map<Class<?>, BiConsumer<PeerConnection, Object>> handlers = new HashMap<>();
  private final List<Consumer<PeerConnection>> closers = new ArrayList<>();

  SimulatedTransport(final SimulatedHost host) {
    this.host = host;
    life = host.life();
    yewjunction.raft.RaftMessages.know(codec);
    yewjunction.membership.MembershipMessages.know(codec);
    yewjunction.control.LeaseMessages.know(codec);
    yewjunction.store.AdmissionMessages.know(codec);
    yewjunction.fanout.FanoutMessages.know(codec);
  }

  /** One side of a link. */
  private static final class End implements PeerConnection {
    private final SimulatedTransport owner;
    private final String remote;
    private End far;
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
    public boolean send(final Object letter) {
      if (!open) {
        return false;
      }
      final byte[] bytes = owner.codec.encode(letter);
      if (owner.host.world.meter != null) {
        owner.host.world.meter.sent(owner.host.address, remote, letter, bytes.length);
      }
      if (connected) {
        carry(bytes);
      } else {
        early.add(bytes);
      }
      return true;
    }

    private void carry(final byte[] bytes) {
      final SimulatedNetwork world = owner.host.world;
      final End target = far;
      if (!heldUp.isEmpty() || world.parted(owner.host.address, target.owner.host.address)) {
        heldUp.add(bytes);
        if (heldUp.size() == 1) {
          heldMs = world.nowMs();
          tryAgain();
        }
        return;
      }
      lastArrivalMicros =
          Math.max(
              lastArrivalMicros + 1,
              world.nowMicros()
                  + world.linkMicros(owner.host.address, bytes.length)
                  + world.delayMicros(owner.host.address, target.owner.host.address));
      world.afterMicros(
          lastArrivalMicros - world.nowMicros(),
          () ->
              target.owner.host.guarded(
                  target.owner.life,
                  () -> {
                    if (target.open) {
                      target.owner.take(target, bytes);
                    }
                  }));
    }

    /**
     * Held up by a cut: sent again and again as TCP does, in order, until the silence ends the link
     * on both sides.
     */
    private void tryAgain() {
      final SimulatedNetwork world = owner.host.world;
      if (!open || heldUp.isEmpty()) {
        return;
      }
      if (!world.parted(owner.host.address, far.owner.host.address)) {
        final List<byte[]> late = new ArrayList<>(heldUp);
        heldUp.clear();
        late.forEach(this::carry);
      } else if (world.nowMs() - heldMs > LINK_SILENCE_MS) {
        close();
        far.close();
      } else {
        world.after(100, this::tryAgain);
      }
    }

    void connect(final SimulatedHost targetHost) {
      final SimulatedNetwork world = owner.host.world;
      world.after(
          DIAL_MS,
          () -> {
            if (!connected) {
              close();
            }
          });
      world.afterMicros(
          2 * world.delayMicros(),
          () -> {
            if (!open
                || targetHost == null
                || targetHost.dark()
                || world.parted(owner.host.address, remote)
                || world.parted(remote, owner.host.address)) {
              return;
            }
            if (!targetHost.up()) {
              close();
              return;
            }
            far = new End(targetHost.post, owner.host.address);
            far.far = this;
            far.connected = true;
            connected = true;
            early.forEach(this::carry);
            early.clear();
          });
    }

    @Override
    public void close() {
      if (!open) {
        return;
      }
      end();
      if (far != null) {
        tellFar();
      }
    }

    /** Through a cut no word of the end comes: the far side notices the silence. */
    private void tellFar() {
      final SimulatedNetwork world = owner.host.world;
      world.afterMicros(
          world.parted(owner.host.address, remote) ? 1_000 * LINK_SILENCE_MS : world.delayMicros(),
          far::end);
    }

    private void end() {
      if (open) {
        open = false;
        owner.ends.remove(this);
        owner.dialled.remove(remote, this);
        owner.host.world.afterMicros(
            5,
            () ->
                owner.host.guarded(
                    owner.life, () -> owner.closers.forEach(closer -> closer.accept(this))));
      }
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

  @Override
  public PeerConnection dial(final String address) {
    End end = dialled.get(address);
    if (end == null || !end.open) {
      end = new End(this, address);
      dialled.put(address, end);
      end.connect(host.world.known(address));
    }
    return end;
  }

  @Override
  public <T> void on(final Class<T> kind, final BiConsumer<PeerConnection, T> handler) {
    handlers.put(kind, (link, letter) -> handler.accept(link, kind.cast(letter)));
  }

  @Override
  public void onClose(final Consumer<PeerConnection> handler) {
    closers.add(handler);
  }

  private void take(final End end, final byte[] bytes) {
    final Object letter = codec.decode(bytes, 0, bytes.length);
    host.tampering.accept(letter);
    if (host.world.meter != null) {
      host.world.meter.taken(host.address, letter, bytes.length);
    }
    final BiConsumer<PeerConnection, Object> handler = handlers.get(letter.getClass());
    if (handler != null) {
      handler.accept(end, letter);
    }
  }

  /** Every link breaks as by a reset that both sides see. */
  void reset() {
    for (final End end : List.copyOf(ends)) {
      end.end();
      if (end.far != null) {
        end.far.end();
      }
    }
  }

  /**
   * All links end: with resets when the machine still answers, else only once the far side notices
   * the silence.
   */
  void drop(final boolean resets) {
    for (final End end : List.copyOf(ends)) {
      end.open = false;
      final End far = end.far;
      if (far != null && resets) {
        end.tellFar();
      } else if (far != null) {
        host.world.after(LINK_SILENCE_MS, far::end);
      }
    }
    ends.clear();
    dialled.clear();
  }
}
