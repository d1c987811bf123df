package yewjunction.transport;

/** One client's connection, as its owner sees it. */
public interface ClientConnection {
  /** Where to write; flushed at the end of the turn. */
  WriteBuffer out();

  /** Bytes that wait to be written. */
  int waiting();

  /** Closes once what waits is written. */
  void closeSoon();

  void close();

  boolean open();

  /** Reads what came. */
  interface Handler {
    /** Consumes whole messages from the start; answers how many bytes it took. */
    int take(byte[] bytes, int length);

    void closed();
  }

  /** Makes an owner for each new line. */
  interface HandlerFactory {
    Handler greet(ClientConnection connection);
  }
}
