package yewjunction.maintenance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Calendars, recurrences and time zones, and calendars that cannot be read. */
class MaintenanceWindowsTest {
  @TempDir Path folder;

  private MaintenanceWindows windows(final String... lines) throws Exception {
    final Path file = folder.resolve("w.ics");
    Files.writeString(
        file,
        "BEGIN:VCALENDAR\r\nVERSION:2.0\r\nPRODID:x\r\nBEGIN:VEVENT\r\nUID:1\r\n"
            + String.join("\r\n", lines)
            + "\r\nEND:VEVENT\r\nEND:VCALENDAR\r\n");
    return MaintenanceWindows.read(file);
  }

  /** Two at night in Berlin is 01:00 UTC in winter and midnight UTC in summer. */
  @ParameterizedTest
  @CsvSource({
    "2026-01-06T01:30:00Z,true",
    "2026-01-06T00:30:00Z,false",
    "2026-07-07T00:30:00Z,true",
    "2026-07-07T01:30:00Z,false",
    "2026-07-08T00:30:00Z,false",
    "2025-12-30T01:30:00Z,false",
  })
  void aWeeklyWindowIsReckonedWhereItWasPlanned(final String moment, final boolean covered)
      throws Exception {
    final MaintenanceWindows windows =
        windows(
            "DTSTART;TZID=Europe/Berlin:20260106T020000",
            "DURATION:PT1H",
            "RRULE:FREQ=WEEKLY;BYDAY=TU",
            "SUMMARY:disks of store-a-1");
    assertEquals(
        covered ? "disks of store-a-1" : null,
        windows.plannedWorkFor(Instant.parse(moment), List.of("store-a-1")));
  }

  @Test
  void onlyWholeNamesAreMeant() throws Exception {
    final MaintenanceWindows windows =
        windows(
            "DTSTART:20260101T000000Z",
            "DTEND:20260102T000000Z",
            "SUMMARY:power",
            "LOCATION:edge-a-12, zone-b");
    final Instant moment = Instant.parse("2026-01-01T12:00:00Z");
    assertNull(windows.plannedWorkFor(moment, List.of("edge-a-1")));
    assertEquals("power", windows.plannedWorkFor(moment, List.of("edge-a-12")));
    assertEquals("power", windows.plannedWorkFor(moment, List.of("edge-x", "zone-b")));
    assertNull(windows.plannedWorkFor(Instant.parse("2026-01-02T00:00:00Z"), List.of("zone-b")));
  }

  @Test
  void badFilesAndEventsAreReportedAndTheRestCounts() throws Exception {
    Files.writeString(folder.resolve("a.ics"), "\0\1 no calendar");
    Files.writeString(
        folder.resolve("b.ics"),
        "BEGIN:VCALENDAR\r\nVERSION:2.0\r\nPRODID:x\r\nBEGIN:VEVENT\r\nSUMMARY:e1\r\nEND:VEVENT\r\nEND:VCALENDAR\r\n");
    windows("DTSTART:20260101T000000Z", "DTEND:20260102T000000Z", "SUMMARY:e1");
    final MaintenanceWindows windows = MaintenanceWindows.read(folder);
    assertEquals(2, windows.unreadable().size(), windows.unreadable().toString());
    assertEquals(
        "e1", windows.plannedWorkFor(Instant.parse("2026-01-01T12:00:00Z"), List.of("e1")));
    assertTrue(
        MaintenanceWindows.read(folder.resolve("none.ics"))
            .unreadable()
            .get(0)
            .contains("none.ics"));
  }

  @Test
  void aRuleWithoutEndIsBounded() throws Exception {
    final MaintenanceWindows windows =
        windows("DTSTART:20200101T000000Z", "DURATION:P3650D", "RRULE:FREQ=SECONDLY", "SUMMARY:e1");
    assertEquals(
        "e1", windows.plannedWorkFor(Instant.parse("2026-01-01T12:00:00Z"), List.of("e1")));
  }
}
