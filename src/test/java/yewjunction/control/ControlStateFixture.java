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

  static ControlStateMachine stateMachine() {
    return new ControlStateMachine(
        new ControlStateMachine.Listener() {
          @Override
          public void onConfigurationChanged() {
            // Only the state counts here.
          }

          @Override
          public void onClusterStateChanged() {
            // Only the state counts here.
          }

          @Override
          public void onCommitted(final long commit) {
            // Only the state counts here.
          }

          @Override
          public void onLeaderChange(final String identity, final boolean self) {
            // Only the state counts here.
          }
        });
  }

  /** A fresh state machine. */
  public static StateMachine machine() {
    return stateMachine();
  }

  /** The commands of the history, one of each kind and a second configuration, encoded. */
  public static List<byte[]> commands() {
    final List<byte[]> commands = new ArrayList<>();
    commands.add(config(1, 0));
    final ControlCommand replica = new ControlCommand(ControlCommand.ASSIGN_REPLICA);
    replica.address = "10.0.0.2:7000";
    replica.node = "edge-2";
    replica.life = 99;
    commands.add(ControlStateMachine.encode(replica));
    replica.address = "10.0.0.3:7000";
    replica.node = "edge-3";
    replica.life = 100;
    commands.add(ControlStateMachine.encode(replica));
    final ControlCommand firstStores = new ControlCommand(ControlCommand.SET_FIRST_STORES);
    firstStores.identities = List.of("10.0.0.4:7000#x", "10.0.0.5:7000#y", "10.0.0.6:7000#z");
    firstStores.zones = List.of("za", "zb", "zc");
    commands.add(ControlStateMachine.encode(firstStores));
    final ControlCommand gone = new ControlCommand(ControlCommand.RETIRE_REPLICA);
    gone.replicaId = 1;
    commands.add(ControlStateMachine.encode(gone));
    final ControlCommand retire = new ControlCommand(ControlCommand.BEGIN_RETIREMENT);
    retire.node = "store-4";
    retire.address = "10.0.0.4:7000";
    commands.add(ControlStateMachine.encode(retire));
    final ControlCommand retired = new ControlCommand(ControlCommand.FINISH_RETIREMENT);
    retired.node = "store-4";
    commands.add(ControlStateMachine.encode(retired));
    commands.add(config(2, 1));
    return commands;
  }

  private static byte[] config(final long version, final long base) {
    final ControlCommand config = new ControlCommand(ControlCommand.SET_CONFIGURATION);
    config.json = String.format(JSON, version);
    config.version = version;
    config.baseVersion = base;
    config.digest = "digest-" + version;
    return ControlStateMachine.encode(config);
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
    assertEquals(2, controlStateMachine.currentConfiguration().version());
    assertTrue(controlStateMachine.wasAccepted(1, "digest-1"));
    assertTrue(controlStateMachine.wasAccepted(2, "digest-2"));
    final ClusterState clusterState = controlStateMachine.clusterState();
    assertEquals(7, clusterState.version());
    assertEquals(2, clusterState.newestReplicaId());
    assertEquals(Set.of(2L), clusterState.liveReplicaIds());
    assertEquals(2, clusterState.replicaId("10.0.0.3:7000", 100));
    assertEquals("10.0.0.3:7000", clusterState.addressOf(2));
    assertEquals(
        List.of("10.0.0.4:7000#x", "10.0.0.5:7000#y", "10.0.0.6:7000#z"), clusterState.stores());
    assertEquals(List.of("10.0.0.5:7000"), clusterState.storeAddresses("zb", true));
    assertTrue(clusterState.retirementOf("store-4").finished);
    assertEquals(Set.of("10.0.0.4:7000"), clusterState.retiringAddresses());
  }
}
