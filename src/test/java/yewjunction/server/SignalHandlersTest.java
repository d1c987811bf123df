package yewjunction.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static yewjunction.server.SignalHandlers.Kind.RELOAD;
import static yewjunction.server.SignalHandlers.Kind.STOP;
import static yewjunction.simulation.InterleavingChecks.everySwitch;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.jetbrains.kotlinx.lincheck.LinChecker;
import org.jetbrains.kotlinx.lincheck.LincheckAssertionError;
import org.jetbrains.kotlinx.lincheck.annotations.Operation;
import org.jetbrains.kotlinx.lincheck.annotations.Validate;
import org.junit.jupiter.api.Test;

/** A signal that comes while the process is put together, or while it takes them, arrives once. */
public class SignalHandlersTest {
  private static final int ITERATIONS = 6;

  @Test
  void earlyOnesComeFirstAndInTheirOrder() {
    final SignalHandlers signals = new SignalHandlers();
    final List<SignalHandlers.Kind> taken = new ArrayList<>();
    signals.onSignal(RELOAD);
    signals.onSignal(STOP);
    signals.setReceiver(taken::add);
    signals.onSignal(STOP);
    assertEquals(List.of(RELOAD, STOP, STOP), taken);
  }

  /** Signals and the process that begins to take them, switched at any point. */
  public static class Start {
    private final SignalHandlers signals;
    private final AtomicInteger came = new AtomicInteger();
    private final AtomicInteger taken = new AtomicInteger();

    public Start() {
      this(new SignalHandlers());
    }

    Start(final SignalHandlers signals) {
      this.signals = signals;
    }

    @Operation
    public void signal() {
      came.incrementAndGet();
      signals.onSignal(STOP);
    }

    @Operation(runOnce = true)
    public void start() {
      signals.setReceiver(kind -> taken.incrementAndGet());
    }

    @Validate
    public void eachArrivedOnce() {
      final int early = taken.get();
      // Whatever still waits is delivered to the next that asks.
      signals.setReceiver(kind -> taken.incrementAndGet());
      if (taken.get() != came.get()) {
        throw new IllegalStateException(
            came.get() + " came, " + early + " and then " + taken.get() + " were taken");
      }
    }
  }

  /** Planted: looks whether somebody takes them, and keeps the signal only after that. */
  public static class Careless extends Start {
    public Careless() {
      super(
          new SignalHandlers() {
            private final AtomicInteger kept = new AtomicInteger();
            private volatile boolean started;

            @Override
            void onSignal(final Kind kind) {
              if (started) {
                super.onSignal(kind);
              } else {
                kept.incrementAndGet();
              }
            }

            @Override
            void setReceiver(final java.util.function.Consumer<Kind> newTaker) {
              if (!started) {
                for (int count = kept.get(); count > 0; count--) {
                  newTaker.accept(STOP);
                }
                started = true;
              }
              super.setReceiver(newTaker);
            }
          });
    }
  }

  @Test
  void noSwitchLosesOrRepeatsASignal() {
    LinChecker.check(Start.class, everySwitch(ITERATIONS));
  }

  @Test
  void aSignalKeptTooLateShows() {
    assertThrows(
        LincheckAssertionError.class,
        () -> LinChecker.check(Careless.class, everySwitch(ITERATIONS)));
  }
}
