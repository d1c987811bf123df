package yewjunction.charter;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import yewjunction.base.Pulse;
import yewjunction.charter.Letters.Who;

import static yewjunction.base.ToolLimits.WARD_MS;

/** What the tides and vaults that ask this crux for leases say of themselves: for operators and the doctor only. */
final class Wards {
    private final Pulse pulse;
    private final Map<String, Seen> seen = new TreeMap<>();

    private record Seen(Who who, long atMs) {
    }

    Wards(final Pulse pulse) {
        this.pulse = pulse;
    }

    void heard(final Who who) {
        seen.put(who.address, new Seen(who, pulse.nowMs()));
    }

    /** Breaks of the declared order, by channel and edge. */
    List<Map<String, Object>> disorders() {
        final List<Map<String, Object>> rows = new ArrayList<>();
        seen.values().forEach(one -> one.who.disorders.forEach(disorder -> rows.add(disorder.row(one.who.node))));
        return rows;
    }

    List<Map<String, Object>> rows() {
        final long nowMs = pulse.nowMs();
        // Whoever asks another crux now is that one's ward.
        seen.values().removeIf(one -> nowMs - one.atMs > WARD_MS);
        final List<Map<String, Object>> rows = new ArrayList<>();
        for (final Seen one : seen.values()) {
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
