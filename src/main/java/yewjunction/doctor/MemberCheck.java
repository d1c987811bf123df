package yewjunction.doctor;

import com.typesafe.config.Config;
import java.util.HashSet;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import yewjunction.doctor.Finding.Code;
import yewjunction.membership.NodeRole;

/** All processes as the control nodes' membership lists show them. */
final class MemberCheck {
  private final SortedMap<String, Config> statuses;
  private final Findings findings;

  MemberCheck(final SortedMap<String, Config> statuses, final Findings findings) {
    this.statuses = statuses;
    this.findings = findings;
  }

  void run() {
    final TreeMap<String, Config> members = new TreeMap<>();
    for (final Config status : statuses.values()) {
      status
          .getConfigList("Siblings")
          .forEach(member -> members.put(member.getString("Addr"), member));
    }
    checkVotersAreKnown(members.keySet());
    members.values().forEach(this::checkMember);
  }

  private void checkVotersAreKnown(final Set<String> members) {
    final Config first = statuses.get(statuses.firstKey());
    // An older release does not say its own address, so nothing can be concluded.
    if (!first.hasPath("Addr")) {
      return;
    }
    final Set<String> known = new HashSet<>(members);
    statuses
        .values()
        .forEach(status -> known.add(status.hasPath("Addr") ? status.getString("Addr") : ""));
    for (final String voter : first.getStringList("Voters")) {
      if (!known.contains(voter)) {
        findings.add(
            Code.VOTER_GONE,
            "nobody knows the voter at " + voter,
            "start a control node in its place: it becomes a voter by itself");
      }
    }
  }

  private void checkMember(final Config member) {
    final String node = member.getString("Nodename");
    final String zone = member.getString("Az");
    final String name = node + " (" + member.getString("Duty") + ")";
    if (member.getBoolean("Suspect") || !member.getBoolean("Up")) {
      findings.add(
          Code.SIBLING_SUSPECT,
          name + " does not answer pings",
          "see whether it runs; it may just be stopping",
          node,
          zone);
    } else if (NodeRole.EDGE.is(member.getString("Duty")) && !member.getBoolean("Ready")) {
      findings.add(
          Code.EDGE_NOT_READY,
          name + " takes no clients",
          "see its log: no lease, no store to attach to, or draining",
          node,
          zone);
    }
  }
}
