package yewjunction.server;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import yewjunction.common.LogEvent;

/** The operators' catalogue names exactly the events there are, under their numbers. */
class EventCatalogueTest {
  @Test
  void everyEventStandsInTheCatalogueAndNoOther() throws Exception {
    final Map<Integer, String> documented = new TreeMap<>();
    for (final String line : Files.readAllLines(Path.of("docs/events.md"))) {
      final Matcher row = Pattern.compile("\\| ([0-9, ]+) \\| ([A-Z_, ]+) \\|.*").matcher(line);
      if (row.matches()) {
        final String[] numbers = row.group(1).split(", ");
        final String[] names = row.group(2).split(", ");
        assertEquals(numbers.length, names.length, line);
        for (int i = 0; i < numbers.length; i++) {
          documented.put(Integer.parseInt(numbers[i].trim()), names[i].trim());
        }
      }
    }
    final Map<Integer, String> existing = new TreeMap<>();
    for (final LogEvent event : LogEvent.values()) {
      existing.put(event.number(), event.name());
    }
    assertEquals(existing, documented);
  }
}
