package yewjunction.raft;

import static yewjunction.limits.StorageLimits.MAX_CATCH_UP_TAIL_BYTES;

import io.protostuff.LinkedBuffer;
import io.protostuff.ProtostuffIOUtil;
import io.protostuff.Schema;
import io.protostuff.runtime.RuntimeSchema;
import java.lang.management.ManagementFactory;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Callable;
import yewjunction.common.AgentContext;
import yewjunction.membership.NodeRole;
import yewjunction.settings.Settings;
import yewjunction.settings.SettingsBuilder;
import yewjunction.simulation.SimulatedNetwork;
import yewjunction.store.MessageStore;
import yewjunction.store.StoredMessage;

/**
 * Prints what the owner's turn costs in which a store's snapshot is built and its file is
 * rewritten: ms of a thread's processor.
 */
final class SnapshotTurnCost {
  private static final Schema<StoredMessage> MESSAGES =
      RuntimeSchema.getSchema(StoredMessage.class);

  private SnapshotTurnCost() {}

  private static <T> T timed(final String what, final Callable<T> step) throws Exception {
    final var threads = ManagementFactory.getThreadMXBean();
    final long startNs = threads.getCurrentThreadCpuTime();
    final long wallNs = System.nanoTime();
    final T made = step.call();
    System.out.printf(
        "%-22s cpu %6.1f ms, wall %6.1f ms%n",
        what,
        (threads.getCurrentThreadCpuTime() - startNs) / 1e6,
        (System.nanoTime() - wallNs) / 1e6);
    return made;
  }

  public static void main(final String[] args) throws Exception {
    final int messages = Integer.parseInt(args[0]);
    final int bodyBytes = Integer.parseInt(args[1]);
    final SimulatedNetwork network = new SimulatedNetwork(1);
    final AgentContext context = network.host("10.1.1.1:7000");
    final Settings settings =
        SettingsBuilder.settings("n", NodeRole.STORE.wireName(), "10.1.1.1")
            .bootstrap(true)
            .diskMb(260)
            .build();
    final MessageStore messageStore =
        new MessageStore(
            context,
            new MessageStore.Listener() {
              @Override
              public boolean isAdmittedHere(final StoredMessage message) {
                return true;
              }

              @Override
              public void onCommitted(final long commit) {}

              @Override
              public void onLeaderChange(final String identity, final boolean self) {}
            },
            settings);
    final byte[][] snapshot = new byte[1][];
    final StateMachine stateMachine =
        new StateMachine() {
          @Override
          public void apply(final long index, final byte[] data) {
            messageStore.apply(index, data);
          }

          @Override
          public byte[] snapshot() {
            try {
              snapshot[0] = timed("Cellar.snapshot", messageStore::snapshot);
              return snapshot[0];
            } catch (final Exception failure) {
              throw new IllegalStateException(failure);
            }
          }

          @Override
          public void restore(final long index, final byte[] state) {
            messageStore.restore(index, state);
          }
        };
    final Random random = new Random(1);
    for (int i = 1; i <= messages; i++) {
      final StoredMessage message = new StoredMessage();
      message.topic = "topic-" + i % 400;
      message.client = "client-" + i % 300;
      message.sequenceNumber = i;
      message.body = new byte[bodyBytes];
      random.nextBytes(message.body);
      message.tenant("tenant-" + i % 20);
      messageStore.apply(
          i, ProtostuffIOUtil.toByteArray(message, MESSAGES, LinkedBuffer.allocate(512)));
    }
    for (int round = 0; round < 5; round++) {
      // The disk's own time is another thread's: left out.
      final RaftNode raftNode =
          new RaftNode(
              1,
              context,
              null,
              new InMemoryDisk(),
              (blocking, continuation) -> continuation.run(),
              "x" + round,
              stateMachine);
      raftNode.assignIdentity("a:1#x");
      // Founding writes the state as a rewrite does: a snapshot and a whole file.
      timed(
          "turn in all",
          () -> {
            raftNode.bootstrap(List.of("a:1#x"));
            return null;
          });
      System.out.println("snapshot bytes " + snapshot[0].length);
      // What is kept at most for a member that catches up is written again with it.
      for (int i = 1; i <= MAX_CATCH_UP_TAIL_BYTES / (bodyBytes + 60); i++) {
        raftNode
            .storage()
            .append(List.of(new LogEntry(i, 1, LogEntry.DATA, new byte[bodyBytes + 60])), () -> {});
      }
      timed(
          "kept tail of " + raftNode.log().lastIndex(),
          () -> {
            raftNode.storage().rewrite(0, new byte[0], () -> {});
            return null;
          });
      timed(
          "Cellar.restore",
          () -> {
            messageStore.restore(messages, snapshot[0]);
            return null;
          });
    }
  }
}
