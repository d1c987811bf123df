package yewjunction.transport;

/** A client's connection, as its handler sees it. All calls on the agent's thread. */
public interface ClientConnection {
  /** Where to write; flushed at the end of the turn. */
  WriteBuffer out();

  /** Bytes that wait to be written. */
  int queuedBytes();

  /** Closes once what waits is written. */
  void closeAfterFlush();

  /** Closes at once; what waits is lost. */
  void close();

  /** Whether it has not been closed by either side. */
  boolean isOpen();

  /** Handles what a client sends. */
  interface Handler {
    /** Consumes whole commands from the start of the buffer; returns how many bytes it consumed. */
    int onReceived(byte[] bytes, int length);

    /** The connection has ended; called once. */
    void onClosed();
  }

  /** Creates a handler for each new connection. */
  interface HandlerFactory {
    /** The handler of a new connection. */
    Handler newHandler(ClientConnection connection);
  }
}
