package yewjunction.doctor;

import com.typesafe.config.Config;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import yewjunction.doctor.Finding.Code;

/** The control group as its nodes show it: leaders, voters and versions. */
final class ControlGroupCheck {
  private final SortedMap<String, Config> statuses;
  private final int votersNeeded;
  private final Findings findings;

  /** Statuses by the address that was asked; at least one. */
  ControlGroupCheck(
      final SortedMap<String, Config> statuses, final int votersNeeded, final Findings findings) {
    this.statuses = statuses;
    this.votersNeeded = votersNeeded;
    this.findings = findings;
  }

  void run() {
    checkEachVotes();
    checkLeader();
    checkEnoughVoters();
    checkVersions();
  }

  private void checkEachVotes() {
    statuses.forEach(
        (address, status) -> {
          // More control nodes than votes: the others are spares.
          if (!status.getBoolean("Votes") && status.getStringList("Voters").size() < votersNeeded) {
            findings.add(
                Code.CRUX_OUTSIDE,
                address + " does not vote",
                "a wiped control node joins within seconds; if not, see its log");
          }
        });
  }

  private void checkLeader() {
    final List<String> leaders = new ArrayList<>();
    final Set<String> named = new HashSet<>();
    for (final Map.Entry<String, Config> one : statuses.entrySet()) {
      if (one.getValue().getBoolean("Leads")) {
        leaders.add(one.getKey());
      }
      named.add(one.getValue().getString("Leader"));
    }
    named.remove("");
    if (leaders.isEmpty() && named.isEmpty()) {
      findings.add(
          Code.NO_LEADER,
          "no control node leads or knows who does",
          "bring back control nodes until more than half of the voters run");
    } else if (leaders.size() > 1 || named.size() > 1) {
      findings.add(
          Code.LEADERS_DIFFER,
          leaders + " lead, " + named + " are named",
          "look again; if it stays, control nodes are cut off");
    }
  }

  private void checkEnoughVoters() {
    final int voters = statuses.get(statuses.firstKey()).getStringList("Voters").size();
    if (statuses.size() * 2 <= voters) {
      findings.add(
          Code.VOTERS_FEW,
          statuses.size() + " of " + voters + " voters answer",
          "bring back the silent control nodes");
    }
  }

  private void checkVersions() {
    final Set<Long> versions = new HashSet<>();
    statuses.values().forEach(status -> versions.add(status.getLong("Ver")));
    if (versions.size() > 1) {
      findings.add(
          Code.VERSIONS_DIFFER,
          "versions " + versions,
          "look again; if it stays, a control node is behind or cut off");
    }
    if (versions.equals(Set.of(0L))) {
      findings.add(
          Code.NO_CONFIG, "no configuration has been taken", "send one with Base-Version 0");
    }
  }
}
