package yewjunction.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import yewjunction.raft.StateMachine;

/** A short history of the control state machine, and what must be true after it. */
public final class ControlStateFixture {
  private static final String JSON =
      "{\"Ver\":%d,\"Routes\":[],\"Svcs\":[],\"Tenants\":[{\"Name\":\"t\",\"Apikeys\":[\"k\"],\"RatePerS\":30,\"Burst\":30}]}";

  private ControlStateFixture() {}

  static ControlStateMachine core() {
    return new ControlStateMachine(
        new ControlStateMachine.Listener() {
          @Override
          public void configChanged() {
            // Only the state counts here.
          }

          @Override
          public void factsChanged() {
            // Only the state counts here.
          }

          @Override
          public void settledTo(final long commit) {
            // Only the state counts here.
          }

          @Override
          public void leaderIs(final String identity, final boolean self) {
            // Only the state counts here.
          }
        });
  }

  /** A fresh state machine. */
  public static StateMachine machine() {
    return core();
  }

  /** The commands of the history, one of each kind and a second configuration, encoded. */
  public static List<byte[]> commands() {
    final List<byte[]> commands = new ArrayList<>();
    commands.add(config(1, 0));
    final ControlCommand replica = new ControlCommand(ControlCommand.REPLICA);
    replica.address = "10.0.0.2:7000";
    replica.node = "edge-2";
    replica.life = 99;
    commands.add(ControlStateMachine.bytes(replica));
    replica.address = "10.0.0.3:7000";
    replica.node = "edge-3";
    replica.life = 100;
    commands.add(ControlStateMachine.bytes(replica));
    final ControlCommand vaults = new ControlCommand(ControlCommand.VAULTS);
    vaults.identities = List.of("10.0.0.4:7000#x", "10.0.0.5:7000#y", "10.0.0.6:7000#z");
    vaults.zones = List.of("za", "zb", "zc");
    commands.add(ControlStateMachine.bytes(vaults));
    final ControlCommand gone = new ControlCommand(ControlCommand.REPLICA_GONE);
    gone.name = 1;
    commands.add(ControlStateMachine.bytes(gone));
    final ControlCommand retire = new ControlCommand(ControlCommand.RETIRE);
    retire.node = "store-4";
    retire.address = "10.0.0.4:7000";
    commands.add(ControlStateMachine.bytes(retire));
    final ControlCommand retired = new ControlCommand(ControlCommand.RETIRED);
    retired.node = "store-4";
    commands.add(ControlStateMachine.bytes(retired));
    commands.add(config(2, 1));
    return commands;
  }

  private static byte[] config(final long version, final long base) {
    final ControlCommand config = new ControlCommand(ControlCommand.CONFIG);
    config.json = String.format(JSON, version);
    config.version = version;
    config.base = base;
    config.digest = "digest-" + version;
    return ControlStateMachine.bytes(config);
  }

  /** Applies the whole history, the first command at the index given. */
  public static void apply(final StateMachine stateMachine, final long firstIndex) {
    long index = firstIndex;
    for (final byte[] command : commands()) {
      stateMachine.apply(index++, command);
    }
  }

  /** Every fact that the history leaves, when its first command stood at index 1. */
  public static void assertComplete(final StateMachine stateMachine) {
    final ControlStateMachine controlStateMachine = (ControlStateMachine) stateMachine;
    assertEquals(2, controlStateMachine.version());
    assertEquals(String.format(JSON, 2), controlStateMachine.json());
    assertEquals(2, controlStateMachine.current().version());
    assertTrue(controlStateMachine.taken(1, "digest-1"));
    assertTrue(controlStateMachine.taken(2, "digest-2"));
    final ClusterState clusterState = controlStateMachine.facts();
    assertEquals(7, clusterState.number());
    assertEquals(2, clusterState.newestReplica());
    assertEquals(Set.of(2L), clusterState.liveReplicas());
    assertEquals(2, clusterState.replica("10.0.0.3:7000", 100));
    assertEquals("10.0.0.3:7000", clusterState.addressOf(2));
    assertEquals(
        List.of("10.0.0.4:7000#x", "10.0.0.5:7000#y", "10.0.0.6:7000#z"), clusterState.vaults());
    assertEquals(List.of("10.0.0.5:7000"), clusterState.vaultAddresses("zb", true));
    assertTrue(clusterState.retiring("store-4").finished);
    assertEquals(Set.of("10.0.0.4:7000"), clusterState.retiringAddresses());
  }
}
