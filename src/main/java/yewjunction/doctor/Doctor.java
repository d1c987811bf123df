package yewjunction.doctor;

import static yewjunction.limits.ToolLimits.FULL_DISK_SHARE;
import static yewjunction.limits.ToolLimits.FULL_MEMORY_PERCENT;
import static yewjunction.limits.ToolLimits.MAX_CLOCK_DIFFERENCE_MS;
import static yewjunction.limits.ToolLimits.MAX_STORE_LAG_ENTRIES;
import static yewjunction.limits.ToolLimits.MAX_WAITING_PUBLISHES;
import static yewjunction.limits.ToolLimits.PROBE_TIMEOUT_MS;
import static yewjunction.limits.ToolLimits.SLOW_DISK_MS;
import static yewjunction.limits.ToolLimits.STORE_SILENCE_MS;

import com.typesafe.config.Config;
import com.typesafe.config.ConfigException;
import com.typesafe.config.ConfigFactory;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import yewjunction.doctor.Finding.Code;
import yewjunction.doctor.HttpProbe.Response;
import yewjunction.maintenance.MaintenanceWindows;
import yewjunction.membership.NodeRole;
import yewjunction.raft.StorageInspection;
import yewjunction.settings.Settings;

/**
 * Looks once from where it runs: at the operator's addresses, this machine's readiness and its data
 * folder.
 */
public final class Doctor {
  private final Settings settings;
  private final Path dataFolder;
  private MaintenanceWindows windows;
  private final HttpProbe probe = new HttpProbe(PROBE_TIMEOUT_MS);
  private final List<Finding> findings = new ArrayList<>();
  private final TreeMap<String, Config> statuses = new TreeMap<>();

  /** The folder may be null: a machine without a disk, or not this machine's. */
  public Doctor(final Settings settings, final Path dataFolder) {
    this.settings = settings;
    this.dataFolder = dataFolder;
  }

  /** Planned work that explains a finding is named beside it. */
  public Doctor planned(final MaintenanceWindows chosenWindows) {
    windows = chosenWindows;
    return this;
  }

  private void found(final Code code, final String seen, final String todo, final String... names) {
    final String planned =
        windows == null || names.length == 0
            ? null
            : windows.plannedWorkFor(Instant.now(), List.of(names));
    findings.add(
        planned == null ? new Finding(code, seen, todo) : new Finding(code, seen, todo, planned));
  }

  /** Looks once; empty when nothing is wrong. */
  public List<Finding> examine() {
    settings.seeds().stream().distinct().forEach(this::examineSeed);
    if (!statuses.isEmpty()) {
      examineControlNodes();
      examineMembers();
      examineProcesses();
      examineStores();
    }
    if (!settings.readinessAddress().isEmpty()) {
      final Response reply = probe.get(settings.readinessAddress(), "/-/readyz");
      if (reply.status() == -1) {
        found(
            Code.READY_SILENT,
            settings.readinessAddress() + ": " + reply.body(),
            "see whether the edge's process runs");
      }
    }
    if (dataFolder != null) {
      examineFolder();
    }
    if (windows != null) {
      windows
          .unreadable()
          .forEach(
              one -> found(Code.CALENDAR_BAD, one, "mend the calendar file; the others count"));
    }
    return findings;
  }

  private void examineSeed(final String seed) {
    final Response reply = probe.get(seed, "/-/outlook/show");
    if (reply.status() == -1) {
      found(
          Code.SEED_SILENT,
          seed + ": " + reply.body(),
          "see whether the control node there runs and can be reached from here");
      return;
    }
    if (reply.clockMs() != null && Math.abs(reply.clockMs()) > MAX_CLOCK_DIFFERENCE_MS) {
      found(
          Code.CLOCK_APART,
          seed + ": its clock is " + reply.clockMs() + " ms ahead of this one",
          "set the clocks");
    }
    try {
      if (reply.status() != 200) {
        throw new ConfigException.Generic("status " + reply.status());
      }
      final Config status = ConfigFactory.parseString(reply.body());
      status.getBoolean("Leads");
      statuses.put(seed, status);
    } catch (final ConfigException failure) {
      found(
          Code.SEED_ODD,
          seed + ": " + failure.getMessage(),
          "see what listens there; releases too far apart?");
    }
  }

  private void examineControlNodes() {
    final List<String> leaders = new ArrayList<>();
    final Set<Long> versions = new HashSet<>();
    for (final var one : statuses.entrySet()) {
      final Config status = one.getValue();
      if (status.getBoolean("Leads")) {
        leaders.add(one.getKey());
      }
      // More control nodes than votes: the rest stand by.
      if (!status.getBoolean("Votes")
          && status.getStringList("Voters").size() < settings.votersNeeded()) {
        found(
            Code.CRUX_OUTSIDE,
            one.getKey() + " does not vote",
            "a wiped control node joins within seconds; if not, see its log");
      }
      versions.add(status.getLong("Ver"));
    }
    final Set<String> named = new HashSet<>();
    statuses.values().forEach(status -> named.add(status.getString("Leader")));
    named.remove("");
    if (leaders.isEmpty() && named.isEmpty()) {
      found(
          Code.NO_LEADER,
          "no control node leads or knows who does",
          "bring back control nodes until more than half of the voters run");
    } else if (leaders.size() > 1 || named.size() > 1) {
      found(
          Code.LEADERS_DIFFER,
          leaders + " lead, " + named + " are named",
          "look again; if it stays, control nodes are cut off");
    }
    final Config first = statuses.firstEntry().getValue();
    final List<String> voters = first.getStringList("Voters");
    if (statuses.size() * 2 <= voters.size()) {
      found(
          Code.VOTERS_FEW,
          statuses.size() + " of " + voters.size() + " voters answer",
          "bring back the silent control nodes");
    }
    if (versions.size() > 1) {
      found(
          Code.VERSIONS_DIFFER,
          "versions " + versions,
          "look again; if it stays, a control node is behind or cut off");
    }
    if (versions.equals(Set.of(0L))) {
      found(Code.NO_CONFIG, "no configuration has been taken", "send one with Base-Version 0");
    }
  }

  private void examineMembers() {
    final TreeMap<String, Config> known = new TreeMap<>();
    statuses
        .values()
        .forEach(
            status ->
                status
                    .getConfigList("Siblings")
                    .forEach(one -> known.put(one.getString("Addr"), one)));
    final Set<String> answering = new HashSet<>(known.keySet());
    statuses
        .values()
        .forEach(status -> answering.add(status.hasPath("Addr") ? status.getString("Addr") : ""));
    for (final String voter : statuses.firstEntry().getValue().getStringList("Voters")) {
      if (statuses.firstEntry().getValue().hasPath("Addr") && !answering.contains(voter)) {
        found(
            Code.VOTER_GONE,
            "nobody knows the voter at " + voter,
            "start a control node in its place: it becomes a voter by itself");
      }
    }
    for (final Config peer : known.values()) {
      final String name = peer.getString("Nodename") + " (" + peer.getString("Duty") + ")";
      if (peer.getBoolean("Suspect") || !peer.getBoolean("Up")) {
        found(
            Code.SIBLING_SUSPECT,
            name + " does not answer probes",
            "see whether it runs; it may just be stopping",
            peer.getString("Nodename"),
            peer.getString("Az"));
      } else if (NodeRole.EDGE.is(peer.getString("Duty")) && !peer.getBoolean("Ready")) {
        found(
            Code.EDGE_NOT_READY,
            name + " takes no clients",
            "see its log: no lease, no store to attach to, or draining",
            peer.getString("Nodename"),
            peer.getString("Az"));
      }
    }
  }

  /** What processes say of themselves to the control node they ask for leases. */
  private void examineProcesses() {
    for (final Config status : statuses.values()) {
      for (final Config process :
          status.hasPath("Wards") ? status.getConfigList("Wards") : List.<Config>of()) {
        examineProcess(
            process, process.getString("Nodename") + " (" + process.getString("Duty") + ")");
      }
      for (final Config channel :
          status.hasPath("Channels") ? status.getConfigList("Channels") : List.<Config>of()) {
        if (channel.getLong("Breaks") > 0) {
          found(
              Code.ORDER_BROKEN,
              channel.getString("Nodename")
                  + " met "
                  + channel.getLong("Breaks")
                  + " breaks of the order declared for "
                  + channel.getString("Topic"),
              "nothing was written out of place; report its events 808 with the log",
              channel.getString("Nodename"));
        }
      }
    }
  }

  private void examineProcess(final Config process, final String name) {
    final String node = process.getString("Nodename");
    final String zone = process.getString("Az");
    if (!process.getBoolean("Held")) {
      found(
          Code.LEASE_LAPSED,
          name + " asks and holds no lease",
          "no majority of control nodes confirms: see NO_LEADER, VOTERS_FEW",
          node,
          zone);
    }
    if (process.getBoolean("Dark")) {
      found(
          Code.EDGE_DARK,
          name + " reaches no leader of the stores",
          "see the connections of its zone; it denies new messages meanwhile",
          node,
          zone);
    }
    if (process.getLong("Waiting") > MAX_WAITING_PUBLISHES) {
      found(
          Code.INTAKE_FILLS,
          name + " has " + process.getLong("Waiting") + " messages waiting",
          "see the leading store: its machine, disk and connections",
          node,
          zone);
    }
    if (process.getLong("DiskOwedMs") > SLOW_DISK_MS) {
      found(
          Code.DISK_SLOW,
          name + ": its disk owes a write since " + process.getLong("DiskOwedMs") + " ms",
          "make room, or replace the disk; see events 410 to 412",
          node,
          zone);
    }
    if (process.getInt("MemoryPct") > FULL_MEMORY_PERCENT) {
      found(
          Code.MEMORY_NEAR_FULL,
          name + " uses " + process.getInt("MemoryPct") + " % of its memory",
          "give it more, or spread its clients over more edges",
          node,
          zone);
    }
  }

  private void examineStores() {
    final List<? extends Config> rows =
        statuses.values().stream()
            .filter(status -> status.getBoolean("Leads"))
            .findFirst()
            .map(status -> status.getConfigList("Vaults"))
            .orElse(null);
    // Only the leader hears from all stores: without its word nothing can be said of them.
    if (rows == null) {
      return;
    }
    findings.addAll(BorrowingCheck.check(rows));
    final int needed = settings.votersNeeded();
    long newest = 0;
    int heard = 0;
    for (final Config row : rows) {
      newest = Math.max(newest, row.getLong("Applied"));
      heard += row.getLong("SeenMs") < STORE_SILENCE_MS ? 1 : 0;
    }
    if (heard < needed) {
      found(
          Code.VAULTS_FEW,
          heard + " stores report, " + needed + " bear the losses named",
          "bring back or add store machines");
    }
    for (final Config row : rows) {
      if (row.getLong("SeenMs") >= STORE_SILENCE_MS) {
        found(
            Code.VAULT_SILENT,
            row.getString("Nodename") + " last called " + row.getLong("SeenMs") + " ms ago",
            "see whether it runs",
            row.getString("Nodename"));
      } else if (newest - row.getLong("Applied") > MAX_STORE_LAG_ENTRIES) {
        found(
            Code.VAULT_BEHIND,
            row.getString("Nodename")
                + " is "
                + (newest - row.getLong("Applied"))
                + " entries behind",
            "a spare one holds nothing; a voter catches up, else see its disk and connections",
            row.getString("Nodename"));
      }
    }
  }

  private void examineFolder() {
    for (final StorageInspection health : StorageInspection.inspect(dataFolder)) {
      if (health.damaged()) {
        found(
            Code.LEDGER_DAMAGED,
            health.file() + ": bad record at byte " + health.validBytes(),
            "if the other voters are well, empty the folder: the machine joins anew");
      } else if (health.validBytes() < health.bytes()) {
        found(
            Code.LEDGER_TORN,
            health.file()
                + ": "
                + (health.bytes() - health.validBytes())
                + " bytes at the end are no record",
            "nothing: a running process is writing, or they are cut at the next start");
      }
      if (settings.diskMb() > 0
          && health.bytes() > FULL_DISK_SHARE * settings.diskMb() * 1_048_576) {
        found(
            Code.DISK_NEAR_FULL,
            health.file() + " has " + (health.bytes() >> 20) + " MB of " + settings.diskMb(),
            "give it a larger disk");
      }
    }
  }
}
