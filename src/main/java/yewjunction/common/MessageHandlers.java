package yewjunction.common;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * The handlers of a transport's messages, one for each class of message.
 *
 * <p>All calls on the agent's thread.
 */
public final class MessageHandlers {
  private final Map<Class<?>, BiConsumer<PeerConnection, Object>> byClass = new HashMap<>();

  /** Messages of that class go to this handler from now on. */
  public <T> void register(final Class<T> kind, final BiConsumer<PeerConnection, T> handler) {
    byClass.put(kind, (connection, message) -> handler.accept(connection, kind.cast(message)));
  }

  /**
   * Hands a message to its handler, with the connection on which it came.
   *
   * @return false when messages of its class have no handler here, and nothing was done
   */
  public boolean dispatch(final PeerConnection connection, final Object message) {
    final BiConsumer<PeerConnection, Object> handler = byClass.get(message.getClass());
    if (handler == null) {
      return false;
    }
    handler.accept(connection, message);
    return true;
  }
}
