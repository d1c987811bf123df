package yewjunction.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import yewjunction.common.MessageHandlers;
import yewjunction.common.PeerConnection;
import yewjunction.common.PeerTransport;

/**
 * Connections that keep what is sent on them; the test itself answers, in any order and from
 * anyone.
 */
public final class ScriptedTransport implements PeerTransport {
  private final Map<String, ScriptedConnection> connections = new HashMap<>();
  private final MessageHandlers handlers = new MessageHandlers();

  /** A connection, with what was sent on it. */
  public static final class ScriptedConnection implements PeerConnection {
    private final String remote;
    private final List<Object> sent = new ArrayList<>();
    private boolean open = true;

    ScriptedConnection(final String remote) {
      this.remote = remote;
    }

    public int size() {
      return sent.size();
    }

    @SuppressWarnings("unchecked")
    public <T> T newest() {
      return (T) sent.get(sent.size() - 1);
    }

    @Override
    public boolean send(final Object message) {
      return sent.add(message);
    }

    @Override
    public void close() {
      open = false;
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
  public ScriptedConnection connect(final String address) {
    return connections.compute(
        address,
        (key, known) -> known == null || !known.open ? new ScriptedConnection(address) : known);
  }

  @Override
  public <T> void onMessage(final Class<T> kind, final BiConsumer<PeerConnection, T> handler) {
    handlers.register(kind, handler);
  }

  @Override
  public void onClose(final Consumer<PeerConnection> handler) {
    // Only the owner itself closes these connections.
  }

  public void respond(final String from, final Object message) {
    respond(connect(from), message);
  }

  /** On that very connection, also on one that was closed: as it were still being read. */
  public void respond(final PeerConnection on, final Object message) {
    if (!handlers.dispatch(on, message)) {
      throw new IllegalStateException("no handler for " + message.getClass());
    }
  }
}
