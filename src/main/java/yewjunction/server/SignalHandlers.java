package yewjunction.server;

import java.util.ArrayDeque;
import java.util.function.Consumer;
import sun.misc.Signal;

/**
 * Signals come on threads of the JVM's own, at any moment, also while the process is still being
 * put together. They are listened for before anything else, since a SIGHUP that nobody handles ends
 * the JVM, and kept until the process takes them.
 */
public class SignalHandlers {
  /** What a signal asks for. */
  enum Kind {
    STOP,
    REREAD
  }

  private final ArrayDeque<Kind> early = new ArrayDeque<>();
  private Consumer<Kind> taker;

  public static SignalHandlers listen() {
    final SignalHandlers signals = new SignalHandlers();
    Signal.handle(new Signal("TERM"), signal -> signals.came(Kind.STOP));
    Signal.handle(new Signal("INT"), signal -> signals.came(Kind.STOP));
    Signal.handle(new Signal("HUP"), signal -> signals.came(Kind.REREAD));
    return signals;
  }

  /** The lock is held for a put into the owner's queue at most: nobody waits inside. */
  synchronized void came(final Kind kind) {
    if (taker == null) {
      early.add(kind);
    } else {
      taker.accept(kind);
    }
  }

  /** From now on they go there, those that came early first and in their order. */
  synchronized void deliver(final Consumer<Kind> newTaker) {
    early.forEach(newTaker);
    early.clear();
    taker = newTaker;
  }
}
