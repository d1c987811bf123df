package yewjunction.sim;

import yewjunction.node.CruxNode;
import yewjunction.node.EdgeNode;
import yewjunction.node.Node;
import yewjunction.node.VaultNode;
import yewjunction.roster.Roster;
import yewjunction.roster.Peer;
import yewjunction.settings.Settings;

/** Starts a process's real code on a simulated machine, as the command line does on a real one. */
public final class Machines {
    private Machines() {
    }

    public record Running(Node node, Roster roster) {
    }

    public static Running boot(final Host host, final Settings settings, final String duty, final long life) {
        final SimPost post = host.boot();
        final Peer self = new Peer();
        self.address = host.address;
        self.node = settings.node();
        self.zone = settings.zone();
        self.duty = duty;
        self.front = duty.equals("tide") ? settings.front() : "";
        self.life = life;
        final Roster roster = new Roster(host, self, host::datagram);
        host.onDatagram(roster::take);
        final Node node = switch (duty) {
            case "crux" -> new CruxNode(host, post, host.disk, host.clerk(), roster, settings, life);
            case "vault" -> new VaultNode(host, post, host.disk, host.clerk(), roster, settings, life);
            default -> new EdgeNode(host, post, roster, settings, life);
        };
        roster.start(settings.coreAddresses());
        node.start();
        return new Running(node, roster);
    }
}
