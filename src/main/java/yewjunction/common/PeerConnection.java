package yewjunction.common;

/** An ordered connection to a member; messages are lost only together with the connection. */
public interface PeerConnection {
  /** Queues a message; false when the connection is closed. */
  boolean send(Object message);

  void close();

  boolean isOpen();

  /** The far address, ip:port; for connections taken in, the port is the peer's ephemeral one. */
  String remoteAddress();
}
