package yewjunction.store;

import static yewjunction.common.Limits.NUMBER_MS;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/** Which numbers of a client were accepted on a topic. */
final class AcceptedNumbers {
  private final Map<String, SenderHistory> tracks = new HashMap<>();

  /** One client on one topic. */
  static final class SenderHistory {
    String key = "";
    long highest;
    List<Long> recent = new ArrayList<>();
    transient List<Long> recentAtMs = new ArrayList<>();
    transient long atMs;
  }

  static String key(final String client, final String topic) {
    return client + " " + topic;
  }

  void accept(final String client, final String topic, final long number, final long nowMs) {
    final SenderHistory track =
        tracks.computeIfAbsent(key(client, topic), key -> new SenderHistory());
    // Invariant: numbers of a client rise on a topic; the gate lets nothing else through.
    if (number <= track.highest) {
      throw new IllegalStateException(
          "number " + number + " after " + track.highest + " of " + client + " on " + topic);
    }
    track.key = key(client, topic);
    track.highest = number;
    track.atMs = nowMs;
    track.recent.add(number);
    track.recentAtMs.add(nowMs);
  }

  boolean accepted(final String client, final String topic, final long number) {
    final SenderHistory track = tracks.get(key(client, topic));
    return track != null && track.recent.contains(number);
  }

  long highest(final String client, final String topic) {
    final SenderHistory track = tracks.get(key(client, topic));
    return track == null ? 0 : track.highest;
  }

  void sweep(final long nowMs) {
    for (final Iterator<SenderHistory> each = tracks.values().iterator(); each.hasNext(); ) {
      final SenderHistory track = each.next();
      while (!track.recent.isEmpty() && nowMs - track.recentAtMs.get(0) > NUMBER_MS) {
        track.recent.remove(0);
        track.recentAtMs.remove(0);
      }
      // The highest number outlives the list: a much later low one must still be denied.
      if (track.recent.isEmpty() && nowMs - track.atMs > 10 * NUMBER_MS) {
        each.remove();
      }
    }
  }

  List<SenderHistory> all() {
    return new ArrayList<>(tracks.values());
  }

  void restore(final List<SenderHistory> saved, final long nowMs) {
    tracks.clear();
    for (final SenderHistory track : saved) {
      track.atMs = nowMs;
      track.recentAtMs = new ArrayList<>();
      track.recent.forEach(number -> track.recentAtMs.add(nowMs));
      tracks.put(track.key, track);
    }
  }
}
