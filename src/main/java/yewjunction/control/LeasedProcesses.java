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
 * What the edges and stores that ask this control node for leases report of themselves, for
 * operators and the doctor only; nothing is decided by it. All calls on the agent's thread.
 */
final class LeasedProcesses {
  private final AgentContext context;
  private final Map<String, TimedReport> reports = new TreeMap<>();

  private record TimedReport(ProcessReport process, long receivedMs) {}

  LeasedProcesses(final AgentContext context) {
    this.context = context;
  }

  void onReport(final ProcessReport process) {
    reports.put(process.address, new TimedReport(process, context.nowMs()));
  }

  /** Violations of a declared order, by channel and edge. */
  List<Map<String, Object>> orderViolationRows() {
    final List<Map<String, Object>> rows = new ArrayList<>();
    reports
        .values()
        .forEach(
            report ->
                report.process.orderViolations.forEach(
                    disorder -> rows.add(disorder.toRow(report.process.node))));
    return rows;
  }

  List<Map<String, Object>> processRows() {
    final long nowMs = context.nowMs();
    // A process that has not asked for long asks another node now.
    reports.values().removeIf(report -> nowMs - report.receivedMs > PROCESS_REPORT_EXPIRY_MS);
    final List<Map<String, Object>> rows = new ArrayList<>();
    for (final TimedReport report : reports.values()) {
      final Map<String, Object> row = new LinkedHashMap<>();
      row.put("Nodename", report.process.node);
      row.put("Duty", report.process.role);
      row.put("Az", report.process.zone);
      row.put("SeenMs", nowMs - report.receivedMs);
      row.put("Held", report.process.leaseHeld);
      row.put("Waiting", report.process.waitingPublishes);
      row.put("Dark", report.process.leaderUnreachable);
      row.put("DiskOwedMs", report.process.diskDelayMs);
      row.put("MemoryPct", report.process.memoryPercent);
      rows.add(row);
    }
    return rows;
  }
}
