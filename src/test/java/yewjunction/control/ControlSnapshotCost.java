package yewjunction.control;

import java.lang.management.ManagementFactory;
import java.util.Random;

/**
 * What building a control group's snapshot costs its owner at the largest configuration: ms of a
 * thread's processor.
 */
final class ControlSnapshotCost {
  private ControlSnapshotCost() {}

  public static void main(final String[] args) {
    final ControlStateMachine stateMachine =
        new ControlStateMachine(
            new ControlStateMachine.Listener() {
              @Override
              public void onConfigurationChanged() {}

              @Override
              public void onClusterStateChanged() {}

              @Override
              public void onCommitted(final long commit) {}

              @Override
              public void onLeaderChange(final String identity, final boolean self) {}
            });
    final Random random = new Random(1);
    final int bytes = Integer.parseInt(args[0]);
    for (int i = 1; i <= 520; i++) {
      final ControlCommand command = new ControlCommand();
      command.kind = ControlCommand.SET_CONFIGURATION;
      command.baseVersion = i - 1;
      command.version = i;
      command.digest = Long.toHexString(random.nextLong()).repeat(4);
      command.json = i < 520 ? "{}" : "\"route\":\"a.b\",".repeat(bytes / 14);
      stateMachine.apply(i, ControlStateMachine.encode(command));
    }
    final var threads = ManagementFactory.getThreadMXBean();
    for (int round = 0; round < 5; round++) {
      final long startNs = threads.getCurrentThreadCpuTime();
      final long wallNs = System.nanoTime();
      final byte[] state = stateMachine.snapshot();
      System.out.printf(
          "Core.snapshot of %d bytes: cpu %.1f ms, wall %.1f ms%n",
          state.length,
          (threads.getCurrentThreadCpuTime() - startNs) / 1e6,
          (System.nanoTime() - wallNs) / 1e6);
    }
  }
}
