package yewjunction.common;

/**
 * An ordered connection to another node. Messages are lost only together with the connection. All
 * calls on the agent's thread.
 */
public interface PeerConnection {
  /** Queues a message. Returns false when the connection is closed. */
  boolean send(Object message);

  /** Closes the connection; what is queued may be lost. */
  void close();

  /** Whether it is open or being established. */
  boolean isOpen();

  /**
   * The remote address, ip:port; for connections that were accepted, the port is an ephemeral one.
   */
  String remoteAddress();
}
