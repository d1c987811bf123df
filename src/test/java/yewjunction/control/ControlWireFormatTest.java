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
  static ControlCommand deed(final int kind) {
    final ControlCommand deed = new ControlCommand(kind);
    deed.json = "{\"Ver\":8}";
    deed.version = 8;
    deed.base = 7;
    deed.digest = "d1gest";
    deed.address = "10.0.0.1:7001";
    deed.node = "node-1";
    deed.life = 123_456_789L;
    deed.name = 33;
    deed.identities = List.of("a:1#x", "b:2#y");
    deed.zones = List.of("zone-a", "zone-b");
    deed.patch = "{\"Ver\":8,\"Patch\":1}";
    deed.patchDigest = 987_654_321L;
    return deed;
  }

  private static ClusterState facts() {
    final ClusterState facts = new ClusterState();
    facts.number = 55;
    facts.newestReplica = 4;
    final ClusterState.Replica replica = new ClusterState.Replica();
    replica.name = 3;
    replica.address = "10.0.0.2:7000";
    replica.life = 99;
    facts.replicas.add(replica);
    facts.vaults = List.of("a:1#x", "b:2#y");
    facts.vaultZones = List.of("zone-a", "zone-b");
    final ClusterState.Retirement retiring = new ClusterState.Retirement();
    retiring.node = "node-9";
    retiring.address = "10.0.0.9:7000";
    retiring.finished = true;
    facts.retiring.add(retiring);
    return facts;
  }

  private static LeaseMessages.ProcessReport who() {
    final LeaseMessages.ProcessReport who = new LeaseMessages.ProcessReport();
    who.address = "10.0.0.1:7000";
    who.node = "node-1";
    who.zone = "zone-a";
    who.duty = "vault";
    who.life = 77;
    who.identity = "a:1#x";
    who.applied = 1_234;
    who.held = true;
    who.waiting = 12;
    who.dark = true;
    who.diskOwedMs = 250;
    who.memoryPct = 61;
    who.emptied = List.of("node-5", "node-6");
    final AccountBalance balance = new AccountBalance();
    balance.tenant = "t1";
    balance.index = 1_001;
    balance.borrowMax = 2_002;
    balance.repayPpm = 3_003;
    balance.tokens = 4_004;
    balance.debt = 5_005;
    balance.borrowed = 6_006;
    balance.repaid = 7_007;
    who.balances.add(balance);
    final OrderViolations disorder = new OrderViolations();
    disorder.topic = "orders.a";
    disorder.breaks = 2;
    disorder.gaps = 3;
    who.disorders.add(disorder);
    return who;
  }

  static Map<String, Object> messages() {
    final Map<String, Object> messages = new LinkedHashMap<>();
    final LeaseMessages.LeaseRequest renew = new LeaseMessages.LeaseRequest();
    renew.request = 11;
    renew.version = 12;
    renew.factsNumber = 13;
    renew.who = who();
    messages.put("50", renew);
    final LeaseMessages.LeaseResponse lease = new LeaseMessages.LeaseResponse();
    lease.held = true;
    lease.request = 21;
    lease.version = 22;
    lease.json = "{\"Ver\":22}";
    lease.facts = facts();
    final RecentChanges.VersionPatch patch = new RecentChanges.VersionPatch();
    patch.base = 20;
    patch.version = 22;
    patch.json = "{}";
    patch.digest = 4_321;
    lease.patches.add(patch);
    final ClusterState.Change change = new ClusterState.Change();
    change.before = 54;
    change.index = 55;
    change.deed = deed(ControlCommand.RETIRE);
    lease.changes.add(change);
    messages.put("51", lease);
    final LeaseMessages.ConfirmLeadershipRequest confirm =
        new LeaseMessages.ConfirmLeadershipRequest();
    confirm.number = 31;
    messages.put("52", confirm);
    final LeaseMessages.ConfirmLeadershipResponse confirmed =
        new LeaseMessages.ConfirmLeadershipResponse();
    confirmed.number = 32;
    confirmed.held = true;
    confirmed.commit = 33;
    messages.put("53", confirmed);
    final LeaseMessages.RegisterRequest enlist = new LeaseMessages.RegisterRequest();
    enlist.who = who();
    messages.put("54", enlist);
    return messages;
  }

  @Test
  void messagesKeepTheirBytes() {
    final MessageCodec codec = new MessageCodec();
    LeaseMessages.know(codec);
    GoldenBytes.assertUnchanged("control.txt", GoldenBytes.encode(codec, messages()));
  }

  @Test
  void commandsAndSnapshotsKeepTheirBytes() {
    final Map<String, byte[]> examples = new LinkedHashMap<>();
    for (int kind = ControlCommand.CONFIG; kind <= ControlCommand.RETIRED; kind++) {
      examples.put("command-" + kind, ControlStateMachine.bytes(deed(kind)));
    }
    final ControlStateMachine core = ControlStateFixture.core();
    ControlStateFixture.apply(core, 1);
    examples.put("snapshot", core.snapshot());
    GoldenBytes.assertUnchanged("control-state.txt", examples);
  }
}
