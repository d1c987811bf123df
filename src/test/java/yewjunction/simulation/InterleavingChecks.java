package yewjunction.simulation;

import org.jetbrains.kotlinx.lincheck.strategy.managed.modelchecking.ModelCheckingOptions;

/** Options of Lincheck's model checker that tests of different packages share. */
public final class InterleavingChecks {
  private InterleavingChecks() {}

  /** Two threads with three operations each, switched at every point. */
  public static ModelCheckingOptions everySwitch(final int iterations) {
    return new ModelCheckingOptions()
        .iterations(iterations)
        .invocationsPerIteration(150)
        .threads(2)
        .actorsPerThread(3)
        .actorsBefore(0)
        .actorsAfter(0)
        .minimizeFailedScenario(false);
  }
}
