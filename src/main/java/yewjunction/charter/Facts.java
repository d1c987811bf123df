package yewjunction.charter;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import yewjunction.ledger.Ledger;

/** What the core has decided besides the configuration. */
public final class Facts {
    long number;
    long newestReplica;
    List<Replica> replicas = new ArrayList<>();
    /** The first voters of the vaults' ledger; later changes are that ledger's own. */
    List<String> vaults = new ArrayList<>();
    /** Their zones, in the same order. */
    List<String> vaultZones = new ArrayList<>();
    List<Retiring> retiring = new ArrayList<>();

    static final class Replica {
        long name;
        String address = "";
        long life;
    }

    /** A store machine that is being emptied. */
    static final class Retiring {
        String node = "";
        String address = "";
        boolean finished;
    }

    public long number() {
        return number;
    }

    public long newestReplica() {
        return newestReplica;
    }

    public Set<Long> liveReplicas() {
        final Set<Long> live = new HashSet<>();
        replicas.forEach(replica -> live.add(replica.name));
        return live;
    }

    /** The name of a process's replica, 0 when it has none yet. */
    public long replica(final String address, final long life) {
        for (final Replica replica : replicas) {
            if (replica.address.equals(address) && replica.life == life) {
                return replica.name;
            }
        }
        return 0;
    }

    public String addressOf(final long name) {
        for (final Replica replica : replicas) {
            if (replica.name == name) {
                return replica.address;
            }
        }
        return null;
    }

    public List<String> vaults() {
        return vaults;
    }

    /** Addresses of the first voters in a zone, or in all others. */
    public List<String> vaultAddresses(final String zone, final boolean inside) {
        final List<String> addresses = new ArrayList<>();
        for (int place = 0; place < vaults.size(); place++) {
            final boolean there = place < vaultZones.size() && vaultZones.get(place).equals(zone);
            if (there == inside) {
                addresses.add(Ledger.address(vaults.get(place)));
            }
        }
        return addresses;
    }

    /** Addresses of vaults that are to hold no duty. */
    public Set<String> retiringAddresses() {
        final Set<String> addresses = new HashSet<>();
        retiring.forEach(one -> addresses.add(one.address));
        return addresses;
    }

    /** The node at that address when it is being emptied and not yet finished, else null. */
    public String retiringNode(final String address) {
        for (final Retiring one : retiring) {
            if (one.address.equals(address) && !one.finished) {
                return one.node;
            }
        }
        return null;
    }

    Retiring retiring(final String node) {
        for (final Retiring one : retiring) {
            if (one.node.equals(node)) {
                return one;
            }
        }
        return null;
    }
}
