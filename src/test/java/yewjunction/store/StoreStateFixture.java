package yewjunction.store;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import yewjunction.common.AgentContext;
import yewjunction.raft.StateMachine;
import yewjunction.settings.Settings;
import yewjunction.settings.SettingsBuilder;

/** A short history of a store's state machine, and what must be true after it. */
public final class StoreStateFixture {
  private StoreStateFixture() {}

  /** Stands still, so that what is built on it always has the same bytes. */
  private static final class StoppedClock implements AgentContext {
    @Override
    public long nowMs() {
      return 5_000;
    }

    @Override
    public void schedule(final long delayMs, final Runnable task) {
      // Time does not pass.
    }

    @Override
    public void execute(final Runnable command) {
      command.run();
    }

    @Override
    public Random random() {
      return new Random(1);
    }
  }

  static MessageStore store() {
    return store(new StoppedClock());
  }

  /** An empty store on that clock. */
  static MessageStore store(final AgentContext context) {
    final Settings settings =
        SettingsBuilder.settings("n", "store", "10.0.0.1")
            .withoutListeners()
            .dataFolder("")
            .diskMb(0)
            .build();
    return new MessageStore(
        context,
        new MessageStore.Listener() {
          @Override
          public boolean isAdmittedHere(final StoredMessage message) {
            return false;
          }

          @Override
          public void onCommitted(final long commit) {
            // Only the state counts here.
          }

          @Override
          public void onLeaderChange(final String identity, final boolean self) {
            // Only the state counts here.
          }
        },
        settings);
  }

  /** A fresh state machine. */
  public static StateMachine machine() {
    return store();
  }

  /**
   * The entries of the history: a tenant's terms, a message it borrows for, and messages of two
   * others.
   */
  public static List<byte[]> commands() {
    final List<byte[]> commands = new ArrayList<>();
    final StoredMessage terms = new StoredMessage();
    terms.logTimeMs = 1_000L;
    terms.termsChange = new BorrowingTerms.TermsChange();
    terms.termsChange.version = 3;
    final BorrowingTerms one = new BorrowingTerms();
    one.tenant = "t1";
    one.ratePerSecond = 1_500;
    one.bucketDepth = 9_000;
    one.borrowMax = 7_000;
    one.repayPpm = 333_333;
    one.firstTokens = 400;
    terms.termsChange.terms.add(one);
    commands.add(MessageStore.encode(terms));
    commands.add(sent("orders.a", "c1", 1, "t1", 1_007L, "first"));
    commands.add(sent("orders.a", "c1", 2, "", null, "second"));
    commands.add(sent("orders.b", "c2", 9, "t1", 1_014L, "third"));
    return commands;
  }

  private static byte[] sent(
      final String topic,
      final String client,
      final long number,
      final String tenant,
      final Long stampMs,
      final String body) {
    final StoredMessage message = new StoredMessage();
    message.topic = topic;
    message.client = client;
    message.sequenceNumber = number;
    message.tenant = tenant;
    message.logTimeMs = stampMs;
    message.body = body.getBytes(UTF_8);
    return MessageStore.encode(message);
  }

  /** Applies the whole history, the first entry at the index given. */
  public static void apply(final StateMachine stateMachine, final long firstIndex) {
    long index = firstIndex;
    for (final byte[] command : commands()) {
      stateMachine.apply(index++, command);
    }
  }

  /** Every fact that the history leaves, when its first entry stood at index 1. */
  public static void assertComplete(final StateMachine stateMachine) {
    final MessageStore store = (MessageStore) stateMachine;
    assertEquals(
        List.of(2L, 3L),
        store.messagesAfter("orders.a", 0).stream().map(message -> message.index).toList());
    assertEquals("first", new String(store.messagesAfter("orders.a", 0).get(0).body, UTF_8));
    assertEquals("second", new String(store.messagesAfter("orders.a", 2).get(0).body, UTF_8));
    assertEquals(
        List.of(4L),
        store.messagesAfter("orders.b", 0).stream().map(message -> message.index).toList());
    assertEquals("c2", store.messagesAfter("orders.b", 0).get(0).client);
    assertEquals("t1", store.messagesAfter("orders.b", 0).get(0).tenant);
    assertEquals(9, store.messagesAfter("orders.b", 0).get(0).sequenceNumber);
    assertTrue(store.acceptedNumbers.accepted("c1", "orders.a", 1));
    assertTrue(store.acceptedNumbers.accepted("c1", "orders.a", 2));
    assertFalse(store.acceptedNumbers.accepted("c2", "orders.b", 8));
    assertEquals(9, store.acceptedNumbers.highest("c2", "orders.b"));
    assertEquals(1, store.balances().size());
    final yewjunction.control.AccountBalance balance = store.balances().get(0);
    assertEquals("t1", balance.tenant);
    assertEquals(4, balance.index);
    assertEquals(7_000, balance.borrowMax);
    assertEquals(333_333, balance.repayPpm);
    assertEquals(2_000, balance.borrowed);
    assertEquals(balance.borrowed, balance.repaid + balance.debt);
  }
}
