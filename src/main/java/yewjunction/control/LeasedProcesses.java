package yewjunction.control;

import static yewjunction.limits.LeaseLimits.PROCESS_REPORT_EXPIRY_MS;

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
  private final AgentContext context;
  private final Map<String, TimedReport> seen = new TreeMap<>();

  private record TimedReport(ProcessReport process, long atMs) {}

  LeasedProcesses(final AgentContext context) {
    this.context = context;
  }

  void heard(final ProcessReport process) {
    seen.put(process.address, new TimedReport(process, context.nowMs()));
  }

  /** Breaks of the declared order, by channel and edge. */
  List<Map<String, Object>> disorders() {
    final List<Map<String, Object>> rows = new ArrayList<>();
    seen.values()
        .forEach(
            report ->
                report.process.disorders.forEach(
                    disorder -> rows.add(disorder.row(report.process.node))));
    return rows;
  }

  List<Map<String, Object>> rows() {
    final long nowMs = context.nowMs();
    // Whoever asks another crux now is that one's ward.
    seen.values().removeIf(report -> nowMs - report.atMs > PROCESS_REPORT_EXPIRY_MS);
    final List<Map<String, Object>> rows = new ArrayList<>();
    for (final TimedReport report : seen.values()) {
      final Map<String, Object> row = new LinkedHashMap<>();
      row.put("Nodename", report.process.node);
      row.put("Duty", report.process.duty);
      row.put("Az", report.process.zone);
      row.put("SeenMs", nowMs - report.atMs);
      row.put("Held", report.process.held);
      row.put("Waiting", report.process.waiting);
      row.put("Dark", report.process.dark);
      row.put("DiskOwedMs", report.process.diskOwedMs);
      row.put("MemoryPct", report.process.memoryPct);
      rows.add(row);
    }
    return rows;
  }
}
