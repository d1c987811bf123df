package yewjunction.charter;

import com.typesafe.config.ConfigRenderOptions;
import com.typesafe.config.ConfigValueFactory;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import yewjunction.ledger.Ledger;
import yewjunction.roster.Roster;
import yewjunction.roster.Peer;

/** How the system looks from one crux, for operators and the doctor. Answered by any crux, from its own tables. */
final class Outlook {
    private final Core core;
    private final Ledger ledger;
    private final Roster roster;
    private final Registrar registrar;
    private final Wards wards;

    Outlook(final Core core, final Ledger ledger, final Roster roster, final Registrar registrar,
            final Wards wards) {
        this.core = core;
        this.ledger = ledger;
        this.roster = roster;
        this.registrar = registrar;
        this.wards = wards;
    }

    /** Breaks of the declared order that the edges which ask this crux for leases have met. */
    String order() {
        return ConfigValueFactory.fromMap(Map.of("Channels", wards.disorders())).render(ConfigRenderOptions.concise());
    }

    String json() {
        final Map<String, Object> page = new LinkedHashMap<>();
        page.put("Nodename", roster.self().node);
        page.put("Addr", roster.self().address);
        page.put("Leads", ledger.leads());
        page.put("Leader", ledger.leader() == null ? "" : Ledger.address(ledger.leader()));
        page.put("Voters", ledger.voters().stream().map(Ledger::address).toList());
        page.put("Votes", ledger.voters().contains(ledger.identity()));
        page.put("Applied", ledger.applied());
        page.put("Ver", core.version());
        final List<Map<String, Object>> peers = new ArrayList<>();
        for (final Peer peer : roster.all()) {
            peers.add(Map.of("Nodename", peer.node, "Duty", peer.duty, "Az", peer.zone,
                "Addr", peer.address, "Up", peer.up(), "Suspect", peer.suspect(), "Ready", peer.ready));
        }
        page.put("Siblings", peers);
        // Only the leader hears from all vaults; on the others the list is empty.
        page.put("Vaults", registrar.vaultRows());
        page.put("DiskOwedMs", ledger.course().owedMs());
        // Those that ask this crux for their leases: mostly its zone's.
        page.put("Wards", wards.rows());
        page.put("Channels", wards.disorders());
        return ConfigValueFactory.fromMap(page).render(ConfigRenderOptions.concise());
    }
}
