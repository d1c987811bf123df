package yewjunction.control;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import yewjunction.common.GoldenBytes;
import yewjunction.common.MessageCodec;

/**
 * The bytes of every message about configuration and leases, and of every command and snapshot, are
 * those of release 0.1.0.
 */
class ControlWireFormatTest {
  static ControlCommand command(final int kind) {
    final ControlCommand command = new ControlCommand(kind);
    command.json = "{\"Ver\":8}";
    command.version = 8;
    command.baseVersion = 7;
    command.digest = "d1gest";
    command.address = "10.0.0.1:7001";
    command.node = "node-1";
    command.life = 123_456_789L;
    command.replicaId = 33;
    command.identities = List.of("a:1#x", "b:2#y");
    command.zones = List.of("zone-a", "zone-b");
    command.patch = "{\"Ver\":8,\"Patch\":1}";
    command.patchDigest = 987_654_321L;
    return command;
  }

  private static ClusterState facts() {
    final ClusterState clusterState = new ClusterState();
    clusterState.version = 55;
    clusterState.newestReplicaId = 4;
    final ClusterState.Replica replica = new ClusterState.Replica();
    replica.id = 3;
    replica.address = "10.0.0.2:7000";
    replica.life = 99;
    clusterState.replicas.add(replica);
    clusterState.stores = List.of("a:1#x", "b:2#y");
    clusterState.storeZones = List.of("zone-a", "zone-b");
    final ClusterState.Retirement retiring = new ClusterState.Retirement();
    retiring.node = "node-9";
    retiring.address = "10.0.0.9:7000";
    retiring.finished = true;
    clusterState.retirements.add(retiring);
    return clusterState;
  }

  private static LeaseMessages.ProcessReport who() {
    final LeaseMessages.ProcessReport process = new LeaseMessages.ProcessReport();
    process.address = "10.0.0.1:7000";
    process.node = "node-1";
    process.zone = "zone-a";
    process.role = "vault";
    process.life = 77;
    process.identity = "a:1#x";
    process.appliedIndex = 1_234;
    process.leaseHeld = true;
    process.waitingPublishes = 12;
    process.leaderUnreachable = true;
    process.diskDelayMs = 250;
    process.memoryPercent = 61;
    process.emptiedNodes = List.of("node-5", "node-6");
    final AccountBalance balance = new AccountBalance();
    balance.tenant = "t1";
    balance.index = 1_001;
    balance.borrowMax = 2_002;
    balance.repayPpm = 3_003;
    balance.tokens = 4_004;
    balance.debt = 5_005;
    balance.borrowed = 6_006;
    balance.repaid = 7_007;
    process.balances.add(balance);
    final OrderViolations disorder = new OrderViolations();
    disorder.topic = "orders.a";
    disorder.violations = 2;
    disorder.gaps = 3;
    process.orderViolations.add(disorder);
    return process;
  }

  private static List<FormerRetention> formerRetentions() {
    return List.of(new FormerRetention("orders.", 35_000, 22), new FormerRetention("o", 1_500, 21));
  }

  static Map<String, Object> messages() {
    final Map<String, Object> messages = new LinkedHashMap<>();
    final LeaseMessages.LeaseRequest leaseRequest = new LeaseMessages.LeaseRequest();
    leaseRequest.requestId = 11;
    leaseRequest.version = 12;
    leaseRequest.clusterStateVersion = 13;
    leaseRequest.process = who();
    messages.put("50", leaseRequest);
    final LeaseMessages.LeaseResponse leaseResponse = new LeaseMessages.LeaseResponse();
    leaseResponse.granted = true;
    leaseResponse.requestId = 21;
    leaseResponse.version = 22;
    leaseResponse.json = "{\"Ver\":22}";
    leaseResponse.clusterState = facts();
    final RecentChanges.VersionPatch patch = new RecentChanges.VersionPatch();
    patch.baseVersion = 20;
    patch.version = 22;
    patch.json = "{}";
    patch.digest = 4_321;
    leaseResponse.patches.add(patch);
    final ClusterState.Change change = new ClusterState.Change();
    change.previousNumber = 54;
    change.index = 55;
    change.command = command(ControlCommand.BEGIN_RETIREMENT);
    leaseResponse.changes.add(change);
    messages.put("51", leaseResponse);
    final LeaseMessages.LeaseResponse withFormerRetentions = new LeaseMessages.LeaseResponse();
    withFormerRetentions.version = 22;
    withFormerRetentions.formerRetentions = formerRetentions();
    messages.put("51-former-retentions", withFormerRetentions);
    final LeaseMessages.ConfirmLeadershipRequest confirmRequest =
        new LeaseMessages.ConfirmLeadershipRequest();
    confirmRequest.requestId = 31;
    messages.put("52", confirmRequest);
    final LeaseMessages.ConfirmLeadershipResponse confirmResponse =
        new LeaseMessages.ConfirmLeadershipResponse();
    confirmResponse.requestId = 32;
    confirmResponse.confirmed = true;
    confirmResponse.commitIndex = 33;
    messages.put("53", confirmResponse);
    final LeaseMessages.RegisterRequest registerRequest = new LeaseMessages.RegisterRequest();
    registerRequest.process = who();
    messages.put("54", registerRequest);
    return messages;
  }

  @Test
  void messagesKeepTheirBytes() {
    final MessageCodec codec = new MessageCodec();
    LeaseMessages.register(codec);
    GoldenBytes.assertUnchanged("control.txt", GoldenBytes.encode(codec, messages()));
  }

  @Test
  void commandsAndSnapshotsKeepTheirBytes() {
    final Map<String, byte[]> examples = new LinkedHashMap<>();
    for (int kind = ControlCommand.SET_CONFIGURATION;
        kind <= ControlCommand.FINISH_RETIREMENT;
        kind++) {
      examples.put("command-" + kind, ControlStateMachine.encode(command(kind)));
    }
    final ControlStateMachine stateMachine = ControlStateFixture.stateMachine();
    ControlStateFixture.apply(stateMachine, 1);
    examples.put("snapshot", stateMachine.snapshot());
    final ControlCommand withFormerRetentions =
        new ControlCommand(ControlCommand.SET_CONFIGURATION);
    withFormerRetentions.json = "{\"Ver\":3}";
    withFormerRetentions.version = 3;
    withFormerRetentions.baseVersion = 2;
    withFormerRetentions.formerRetentions = formerRetentions();
    final byte[] encoded = ControlStateMachine.encode(withFormerRetentions);
    examples.put("command-1-former-retentions", encoded);
    stateMachine.apply(9, encoded);
    examples.put("snapshot-former-retentions", stateMachine.snapshot());
    GoldenBytes.assertUnchanged("control-state.txt", examples);
  }
}
