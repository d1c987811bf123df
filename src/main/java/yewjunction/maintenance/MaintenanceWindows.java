package yewjunction.maintenance;

import static yewjunction.limits.ToolLimits.MAX_CALENDAR_BYTES;
import static yewjunction.limits.ToolLimits.MAX_RECURRENCES;

import biweekly.Biweekly;
import biweekly.ICalendar;
import biweekly.component.VEvent;
import biweekly.util.com.google.ical.compat.javautil.DateIterator;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Date;
import java.util.List;
import java.util.TimeZone;
import java.util.stream.Stream;

/**
 * Planned work, read once. A file that can't be read is reported and left out; the others count.
 */
public final class MaintenanceWindows {
  private final List<PlannedWork> planned = new ArrayList<>();
  private final List<String> unreadable = new ArrayList<>();

  private record PlannedWork(VEvent event, TimeZone zone, Duration length) {}

  private MaintenanceWindows() {}

  /** A calendar file, or a folder of files that end in .ics. */
  public static MaintenanceWindows read(final Path place) {
    final MaintenanceWindows windows = new MaintenanceWindows();
    if (Files.isDirectory(place)) {
      try (Stream<Path> files = Files.list(place)) {
        files.filter(file -> file.toString().endsWith(".ics")).sorted().forEach(windows::add);
      } catch (final IOException failure) {
        windows.unreadable.add(place + ": " + failure.getMessage());
      }
    } else {
      windows.add(place);
    }
    return windows;
  }

  private void add(final Path file) {
    try {
      if (Files.size(file) > MAX_CALENDAR_BYTES) {
        unreadable.add(file + ": larger than " + MAX_CALENDAR_BYTES + " bytes");
        return;
      }
      final List<ICalendar> calendars = Biweekly.parse(Files.readString(file)).all();
      if (calendars.isEmpty()) {
        unreadable.add(file + ": holds no calendar");
      }
      for (final ICalendar calendar : calendars) {
        calendar.getEvents().forEach(event -> add(file, calendar, event));
      }
    } catch (final IOException | RuntimeException failure) {
      unreadable.add(file + ": " + failure.getMessage());
    }
  }

  private void add(final Path file, final ICalendar calendar, final VEvent event) {
    if (event.getDateStart() == null || event.getDateStart().getValue() == null) {
      unreadable.add(file + ": an event without a start");
      return;
    }
    final Instant start = event.getDateStart().getValue().toInstant();
    final Duration length;
    if (event.getDateEnd() != null && event.getDateEnd().getValue() != null) {
      length = Duration.between(start, event.getDateEnd().getValue().toInstant());
    } else if (event.getDuration() != null && event.getDuration().getValue() != null) {
      length = Duration.ofMillis(event.getDuration().getValue().toMillis());
    } else {
      // Without an end a day's event lasts that day, and one with a time has no length to explain
      // anything by.
      length = event.getDateStart().getValue().hasTime() ? Duration.ZERO : Duration.ofDays(1);
    }
    if (length.isNegative()) {
      unreadable.add(file + ": an event that ends before it starts");
      return;
    }
    final var assigned = calendar.getTimezoneInfo().getTimezone(event.getDateStart());
    // A recurrence is reckoned where it was planned: at two at night there, in summer as in winter.
    planned.add(
        new PlannedWork(
            event, assigned == null ? TimeZone.getDefault() : assigned.getTimeZone(), length));
  }

  /** Files and events that were left out, and why. */
  public List<String> unreadable() {
    return unreadable;
  }

  /** What is planned at that moment for something with one of these names, or null. */
  public String plannedWorkFor(final Instant moment, final List<String> names) {
    for (final PlannedWork one : planned) {
      final String text = text(one.event);
      if (names.stream().anyMatch(name -> mentions(text, name)) && isActive(one, moment)) {
        return one.event.getSummary() == null ? "planned work" : one.event.getSummary().getValue();
      }
    }
    return null;
  }

  private static String text(final VEvent event) {
    return (event.getSummary() == null ? "" : event.getSummary().getValue())
        + "\n"
        + (event.getLocation() == null ? "" : event.getLocation().getValue())
        + "\n"
        + (event.getDescription() == null ? "" : event.getDescription().getValue());
  }

  /** The text contains the name as a word of its own: edge-a-1 is not meant by edge-a-12. */
  private static boolean mentions(final String text, final String name) {
    for (int at = text.indexOf(name); at >= 0; at = text.indexOf(name, at + 1)) {
      final int end = at + name.length();
      if ((at == 0 || !isWordPart(text.charAt(at - 1)))
          && (end == text.length() || !isWordPart(text.charAt(end)))) {
        return true;
      }
    }
    return false;
  }

  private static boolean isWordPart(final char sign) {
    return Character.isLetterOrDigit(sign) || sign == '-' || sign == '_';
  }

  private static boolean isActive(final PlannedWork one, final Instant moment) {
    final DateIterator starts = one.event.getDateIterator(one.zone);
    // Jumps near the moment; the turns are bounded, since a rule may name a start each second for
    // ever.
    starts.advanceTo(Date.from(moment.minus(one.length)));
    for (int turn = 0; turn < MAX_RECURRENCES && starts.hasNext(); turn++) {
      final Instant start = starts.next().toInstant();
      if (start.isAfter(moment)) {
        return false;
      }
      if (moment.isBefore(start.plus(one.length))) {
        return true;
      }
    }
    return false;
  }
}
