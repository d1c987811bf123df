package yewjunction.doctor;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import yewjunction.doctor.Finding.Code;
import yewjunction.maintenance.MaintenanceWindows;

/** Collects what the checks find, in order, and names the planned work that explains it. */
final class Findings {
  private final List<Finding> all = new ArrayList<>();
  private final MaintenanceWindows windows;

  /** The windows may be null: then nothing is planned. */
  Findings(final MaintenanceWindows windows) {
    this.windows = windows;
  }

  /**
   * Adds a finding.
   *
   * @param names what it is about, as calendars name it: a node and its zone
   */
  void add(final Code code, final String seen, final String todo, final String... names) {
    final String planned =
        windows == null || names.length == 0
            ? null
            : windows.plannedWorkFor(Instant.now(), List.of(names));
    all.add(
        planned == null ? new Finding(code, seen, todo) : new Finding(code, seen, todo, planned));
  }

  List<Finding> all() {
    return all;
  }
}
