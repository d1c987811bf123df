package yewjunction.charter;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import yewjunction.base.Codec;
import yewjunction.base.GoldenBytes;

/** The bytes of every message about configuration and leases, and of every command and snapshot, are those of release 0.1.0. */
class ControlWireFormatTest {
    static Deed deed(final int kind) {
        final Deed deed = new Deed(kind);
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

    private static Facts facts() {
        final Facts facts = new Facts();
        facts.number = 55;
        facts.newestReplica = 4;
        final Facts.Replica replica = new Facts.Replica();
        replica.name = 3;
        replica.address = "10.0.0.2:7000";
        replica.life = 99;
        facts.replicas.add(replica);
        facts.vaults = List.of("a:1#x", "b:2#y");
        facts.vaultZones = List.of("zone-a", "zone-b");
        final Facts.Retiring retiring = new Facts.Retiring();
        retiring.node = "node-9";
        retiring.address = "10.0.0.9:7000";
        retiring.finished = true;
        facts.retiring.add(retiring);
        return facts;
    }

    private static Letters.Who who() {
        final Letters.Who who = new Letters.Who();
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
        final Balance balance = new Balance();
        balance.tenant = "t1";
        balance.index = 1_001;
        balance.borrowMax = 2_002;
        balance.repayPpm = 3_003;
        balance.tokens = 4_004;
        balance.debt = 5_005;
        balance.borrowed = 6_006;
        balance.repaid = 7_007;
        who.balances.add(balance);
        final Disorder disorder = new Disorder();
        disorder.topic = "orders.a";
        disorder.breaks = 2;
        disorder.gaps = 3;
        who.disorders.add(disorder);
        return who;
    }

    static Map<String, Object> messages() {
        final Map<String, Object> messages = new LinkedHashMap<>();
        final Letters.Renew renew = new Letters.Renew();
        renew.request = 11;
        renew.version = 12;
        renew.factsNumber = 13;
        renew.who = who();
        messages.put("50", renew);
        final Letters.Lease lease = new Letters.Lease();
        lease.held = true;
        lease.request = 21;
        lease.version = 22;
        lease.json = "{\"Ver\":22}";
        lease.facts = facts();
        final News.Patch patch = new News.Patch();
        patch.base = 20;
        patch.version = 22;
        patch.json = "{}";
        patch.digest = 4_321;
        lease.patches.add(patch);
        final Facts.Change change = new Facts.Change();
        change.before = 54;
        change.index = 55;
        change.deed = deed(Deed.RETIRE);
        lease.changes.add(change);
        messages.put("51", lease);
        final Letters.Confirm confirm = new Letters.Confirm();
        confirm.number = 31;
        messages.put("52", confirm);
        final Letters.Confirmed confirmed = new Letters.Confirmed();
        confirmed.number = 32;
        confirmed.held = true;
        confirmed.commit = 33;
        messages.put("53", confirmed);
        final Letters.Enlist enlist = new Letters.Enlist();
        enlist.who = who();
        messages.put("54", enlist);
        return messages;
    }

    @Test
    void messagesKeepTheirBytes() {
        final Codec codec = new Codec();
        Letters.know(codec);
        GoldenBytes.assertUnchanged("control.txt", GoldenBytes.encode(codec, messages()));
    }

    @Test
    void commandsAndSnapshotsKeepTheirBytes() {
        final Map<String, byte[]> examples = new LinkedHashMap<>();
        for (int kind = Deed.CONFIG; kind <= Deed.RETIRED; kind++) {
            examples.put("command-" + kind, Core.bytes(deed(kind)));
        }
        final Core core = ControlStateFixture.core();
        ControlStateFixture.apply(core, 1);
        examples.put("snapshot", core.snapshot());
        GoldenBytes.assertUnchanged("control-state.txt", examples);
    }
}
