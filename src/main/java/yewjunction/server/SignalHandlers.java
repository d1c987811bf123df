package yewjunction.server;

import java.util.ArrayDeque;
import java.util.function.Consumer;
import sun.misc.Signal;

/**
 * The signals of the JVM. They come on threads of its own, at any moment, also while the process is
 * still being put together; they are taken before anything else, since a SIGHUP that nobody handles
 * ends the JVM, and kept until there is a receiver.
 */
public class SignalHandlers {
  /** What a signal asks for. */
  enum Kind {
    STOP,
    RELOAD
  }

  private final ArrayDeque<Kind> pendingSignals = new ArrayDeque<>();
  private Consumer<Kind> receiver;

  /** Takes SIGTERM, SIGINT and SIGHUP of this JVM from now on. */
  public static SignalHandlers listen() {
    final SignalHandlers signals = new SignalHandlers();
    Signal.handle(new Signal("TERM"), signal -> signals.onSignal(Kind.STOP));
    Signal.handle(new Signal("INT"), signal -> signals.onSignal(Kind.STOP));
    Signal.handle(new Signal("HUP"), signal -> signals.onSignal(Kind.RELOAD));
    return signals;
  }

  /** The lock is held for a put into the owner's queue at most: nobody waits inside. */
  synchronized void onSignal(final Kind kind) {
    if (receiver == null) {
      pendingSignals.add(kind);
    } else {
      receiver.accept(kind);
    }
  }

  /** From now on they go there, those that came early first and in their order. */
  synchronized void setReceiver(final Consumer<Kind> newTaker) {
    pendingSignals.forEach(newTaker);
    pendingSignals.clear();
    receiver = newTaker;
  }
}
