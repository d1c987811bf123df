package yewjunction.transport;

/** One client's connection, as its owner sees it. */
public interface ClientConnection {
  /** Where to write; flushed at the end of the turn. */
  WriteBuffer out();

  /** Bytes that wait to be written. */
  int queuedBytes();

  /** Closes once what waits is written. */
  void closeAfterFlush();

  void close();

  boolean isOpen();

  /** Reads what came. */
  interface Handler {
    /** Consumes whole messages from the start; answers how many bytes it took. */
    int onReceived(byte[] bytes, int length);

    void onClosed();
  }

  /** Makes an owner for each new line. */
  interface HandlerFactory {
    Handler newHandler(ClientConnection connection);
  }
}
