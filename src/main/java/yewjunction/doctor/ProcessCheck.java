package yewjunction.doctor;

import static yewjunction.limits.ToolLimits.FULL_MEMORY_PERCENT;
import static yewjunction.limits.ToolLimits.MAX_WAITING_PUBLISHES;
import static yewjunction.limits.ToolLimits.SLOW_DISK_MS;

import com.typesafe.config.Config;
import java.util.List;
import yewjunction.doctor.Finding.Code;

/** What edges and stores report of themselves to the control node that they have leases from. */
final class ProcessCheck {
  private final Findings findings;

  ProcessCheck(final Findings findings) {
    this.findings = findings;
  }

  void run(final Config status) {
    rows(status, "Wards").forEach(this::checkProcess);
    rows(status, "Channels").forEach(this::checkChannel);
  }

  private static List<? extends Config> rows(final Config status, final String field) {
    return status.hasPath(field) ? status.getConfigList(field) : List.of();
  }

  private void checkChannel(final Config channel) {
    final String node = channel.getString("Nodename");
    if (channel.getLong("Breaks") > 0) {
      findings.add(
          Code.ORDER_BROKEN,
          node
              + " met "
              + channel.getLong("Breaks")
              + " breaks of the order declared for "
              + channel.getString("Topic"),
          "nothing was written out of place; report its events 808 with the log",
          node);
    }
  }

  private void checkProcess(final Config process) {
    final String node = process.getString("Nodename");
    final String zone = process.getString("Az");
    final String name = node + " (" + process.getString("Duty") + ")";
    if (!process.getBoolean("Held")) {
      findings.add(
          Code.LEASE_LAPSED,
          name + " asks and holds no lease",
          "no majority of control nodes confirms: see NO_LEADER, VOTERS_FEW",
          node,
          zone);
    }
    if (process.getBoolean("Dark")) {
      findings.add(
          Code.EDGE_DARK,
          name + " reaches no leader of the stores",
          "see the connections of its zone; it denies new messages meanwhile",
          node,
          zone);
    }
    if (process.getLong("Waiting") > MAX_WAITING_PUBLISHES) {
      findings.add(
          Code.INTAKE_FILLS,
          name + " has " + process.getLong("Waiting") + " messages waiting",
          "see the leading store: its machine, disk and connections",
          node,
          zone);
    }
    checkResources(process, name, node, zone);
  }

  private void checkResources(
      final Config process, final String name, final String node, final String zone) {
    if (process.getLong("DiskOwedMs") > SLOW_DISK_MS) {
      findings.add(
          Code.DISK_SLOW,
          name + ": its disk owes a write since " + process.getLong("DiskOwedMs") + " ms",
          "make room, or replace the disk; see events 410 to 412",
          node,
          zone);
    }
    if (process.getInt("MemoryPct") > FULL_MEMORY_PERCENT) {
      findings.add(
          Code.MEMORY_NEAR_FULL,
          name + " uses " + process.getInt("MemoryPct") + " % of its memory",
          "give it more, or spread its clients over more edges",
          node,
          zone);
    }
  }
}
