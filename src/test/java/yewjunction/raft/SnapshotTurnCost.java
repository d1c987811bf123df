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

  /** Of which the first runs code that is not compiled yet. */
  private static final int ROUNDS = 5;

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

  /** Arguments: the number of messages, and the bytes of each body. */
  public static void main(final String[] args) throws Exception {
    final int messages = Integer.parseInt(args[0]);
    final int bodyBytes = Integer.parseInt(args[1]);
    final AgentContext context = new SimulatedNetwork(1).host("10.1.1.1:7000");
    final MessageStore messageStore = messageStore(context);
    fill(messageStore, messages, bodyBytes);
    final TimedStateMachine stateMachine = new TimedStateMachine(messageStore);
    for (int round = 0; round < ROUNDS; round++) {
      measure(context, stateMachine, round, bodyBytes);
      timed(
          "MessageStore.restore",
          () -> {
            messageStore.restore(messages, stateMachine.newestSnapshot);
            return null;
          });
    }
  }

  private static MessageStore messageStore(final AgentContext context) {
    final Settings settings =
        SettingsBuilder.settings("n", NodeRole.STORE.wireName(), "10.1.1.1")
            .bootstrap(true)
            .diskMb(260)
            .build();
    return new MessageStore(
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
  }

  private static void fill(
      final MessageStore messageStore, final int messages, final int bodyBytes) {
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
  }

  private static void measure(
      final AgentContext context,
      final TimedStateMachine stateMachine,
      final int round,
      final int bodyBytes)
      throws Exception {
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
    System.out.println("snapshot bytes " + stateMachine.newestSnapshot.length);
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
  }

  /** Hands everything on to the store, and says how long a snapshot takes. */
  private static final class TimedStateMachine implements StateMachine {
    private final MessageStore messageStore;
    private byte[] newestSnapshot;

    TimedStateMachine(final MessageStore messageStore) {
      this.messageStore = messageStore;
    }

    @Override
    public void apply(final long index, final byte[] data) {
      messageStore.apply(index, data);
    }

    @Override
    public byte[] snapshot() {
      try {
        newestSnapshot = timed("MessageStore.snapshot", messageStore::snapshot);
        return newestSnapshot;
      } catch (final Exception failure) {
        throw new IllegalStateException(failure);
      }
    }

    @Override
    public void restore(final long index, final byte[] state) {
      messageStore.restore(index, state);
    }
  }
}
