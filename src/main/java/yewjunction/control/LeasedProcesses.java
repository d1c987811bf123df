package yewjunction.control;

import static yewjunction.common.ToolLimits.WARD_MS;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import yewjunction.common.AgentContext;
import yewjunction.control.LeaseMessages.ProcessReport;

/**
 * What the tides and vaults that ask this crux for leases say of themselves: for operators and the
 * doctor only.
 */
final class LeasedProcesses {
  private final AgentContext pulse;
  private final Map<String, TimedReport> seen = new TreeMap<>();

  private record TimedReport(ProcessReport who, long atMs) {}

  LeasedProcesses(final AgentContext pulse) {
    this.pulse = pulse;
  }

  void heard(final ProcessReport who) {
    seen.put(who.address, new TimedReport(who, pulse.nowMs()));
  }

  /** Breaks of the declared order, by channel and edge. */
  List<Map<String, Object>> disorders() {
    final List<Map<String, Object>> rows = new ArrayList<>();
    seen.values()
        .forEach(
            one -> one.who.disorders.forEach(disorder -> rows.add(disorder.row(one.who.node))));
    return rows;
  }

  List<Map<String, Object>> rows() {
    final long nowMs = pulse.nowMs();
    // Whoever asks another crux now is that one's ward.
    seen.values().removeIf(one -> nowMs - one.atMs > WARD_MS);
    final List<Map<String, Object>> rows = new ArrayList<>();
    for (final TimedReport one : seen.values()) {
      final Map<String, Object> row = new LinkedHashMap<>();
      row.put("Nodename", one.who.node);
      row.put("Duty", one.who.duty);
      row.put("Az", one.who.zone);
      row.put("SeenMs", nowMs - one.atMs);
      row.put("Held", one.who.held);
      row.put("Waiting", one.who.waiting);
      row.put("Dark", one.who.dark);
      row.put("DiskOwedMs", one.who.diskOwedMs);
      row.put("MemoryPct", one.who.memoryPct);
      rows.add(row);
    }
    return rows;
  }
}
