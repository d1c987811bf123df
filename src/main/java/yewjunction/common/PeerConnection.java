package yewjunction.common;

/** An ordered connection to a peer; letters are lost only together with the link. */
public interface PeerConnection {
  /** Queues a letter; false when the link is closed. */
  boolean send(Object message);

  void close();

  boolean isOpen();

  /** The far address, ip:port; for links taken in, the port is the peer's ephemeral one. */
  String remoteAddress();
}
