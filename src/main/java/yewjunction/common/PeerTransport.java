package yewjunction.common;

import java.util.function.BiConsumer;
import java.util.function.Consumer;

/** Messages between peers over ordered connections. */
public interface PeerTransport {
  /** The connection to that address, dialled when there is none. */
  PeerConnection connect(String address);

  <T> void onMessage(Class<T> kind, BiConsumer<PeerConnection, T> handler);

  void onClose(Consumer<PeerConnection> handler);
}
