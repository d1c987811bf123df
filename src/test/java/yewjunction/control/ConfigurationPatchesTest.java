package yewjunction.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.typesafe.config.ConfigFactory;
import com.typesafe.config.ConfigValueFactory;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Patches between random configurations lead to exactly the newer one. */
class ConfigurationPatchesTest {
  /** A random configuration: what it means to whoever serves by it is in the two maps. */
  private static final class Draft {
    final Map<String, Map<String, Object>> routes = new TreeMap<>();
    final Map<String, Map<String, Object>> tenants = new TreeMap<>();
    int subs = 20;
    int version = 1;

    void change(final Random random) {
      version += 1 + random.nextInt(3);
      for (int changes = random.nextInt(4); changes >= 0; changes--) {
        final String name = "n" + random.nextInt(30);
        switch (random.nextInt(5)) {
          case 0 -> routes.remove(name);
          case 1 -> tenants.remove(name);
          case 2 ->
              routes.put(
                  name,
                  new LinkedHashMap<>(
                      Map.of(
                          "Name",
                          name,
                          "Pfx",
                          name + ".",
                          "TimeoutMs",
                          500 + random.nextInt(9),
                          "LingerS",
                          35.5,
                          "Fifo",
                          "topic",
                          "Later",
                          List.of(random.nextInt(3)))));
          case 3 ->
              tenants.put(
                  name,
                  new LinkedHashMap<>(
                      Map.of(
                          "Name",
                          name,
                          "Apikeys",
                          List.of("k" + name, "o" + random.nextInt(3) + name),
                          "RatePerS",
                          5 + random.nextInt(3),
                          "Burst",
                          7)));
          default -> subs = 20 + random.nextInt(3);
        }
      }
    }

    Configuration configuration(final Random random) {
      final List<Object> shuffled = new ArrayList<>(routes.values());
      java.util.Collections.shuffle(shuffled, random);
      final Map<String, Object> all = new LinkedHashMap<>();
      all.put("Ver", version);
      all.put("Routes", shuffled);
      all.put("Svcs", List.of());
      all.put("Lims", Map.of("Subs", subs));
      all.put("Tenants", new ArrayList<>(tenants.values()));
      return Configuration.read(Configuration.toJson(ConfigValueFactory.fromMap(all).toConfig()));
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void whoeverTakesThePatchesHoldsWhatTheControlGroupHolds(final long seed) {
    final Random random = new Random(seed);
    final Draft draft = new Draft();
    for (int i = 0; i < 40; i++) {
      draft.change(random);
    }
    Configuration current = draft.configuration(random);
    Configuration edge = Configuration.read(current.json());
    int patched = 0;
    for (int round = 0; round < 200; round++) {
      draft.change(random);
      final Configuration next = draft.configuration(random);
      final ControlCommand command = new ControlCommand(ControlCommand.SET_CONFIGURATION);
      ConfigurationPatches.attachTo(command, current, next);
      assertTrue(
          command.patch != null && command.patch.length() < next.json().length(), command.patch);
      edge = Configuration.of(edge.updated(Configuration.parse(command.patch)));
      assertEquals(next.digest(), edge.digest());
      assertEquals(next.version(), edge.version());
      assertEquals(next.maxSubscriptions(), edge.maxSubscriptions());
      for (int i = 0; i < 30; i++) {
        assertEquals(next.routeOf("n" + i + ".x"), edge.routeOf("n" + i + ".x"));
        assertEquals(next.tenant("n" + i), edge.tenant("n" + i));
        assertEquals(next.tenantOfKey("kn" + i), edge.tenantOfKey("kn" + i));
      }
      patched++;
      current = next;
    }
    assertEquals(200, patched);
  }

  @Test
  void whatAnUpdateCannotSayIsSentWhole() {
    final Configuration before =
        Configuration.read("{\"Ver\":1,\"Lims\":{\"Subs\":5},\"Later\":3}");
    for (final String after :
        List.of(
            "{\"Ver\":2,\"Lims\":{\"Subs\":5},\"Later\":4}", "{\"Ver\":2,\"Lims\":{\"Subs\":5}}")) {
      final ControlCommand command = new ControlCommand(ControlCommand.SET_CONFIGURATION);
      ConfigurationPatches.attachTo(command, before, Configuration.read(after));
      assertNull(command.patch, after);
    }
    final ControlCommand first = new ControlCommand(ControlCommand.SET_CONFIGURATION);
    ConfigurationPatches.attachTo(first, null, before);
    assertNull(first.patch);
  }

  @Test
  void theDigestTellsWhatServingDependsOn() {
    final String route =
        "{\"Ver\":1,\"Routes\":[{\"Name\":\"r\",\"Pfx\":\"a.\",\"TimeoutMs\":5,\"After\":[\"s\",\"q\"]},"
            + "{\"Name\":\"s\",\"Pfx\":\"b.\",\"TimeoutMs\":5},{\"Name\":\"q\",\"Pfx\":\"c.\",\"TimeoutMs\":5}],"
            + "\"Tenants\":[{\"Name\":\"t\",\"Apikeys\":[\"k\",\"l\"],\"RatePerS\":3,\"BorrowMax\":4}]}";
    final long digest = Configuration.read(route).digest();
    assertEquals(
        digest,
        Configuration.read(
                route
                    .replace("[\"s\",\"q\"]", "[\"q\",\"s\"]")
                    .replace("[\"k\",\"l\"]", "[\"l\",\"k\"]"))
            .digest());
    for (final String[] change :
        new String[][] {
          {"\"a.\"", "\"d.\""},
          {"[\"s\",\"q\"]", "[\"s\"]"},
          {"\"TimeoutMs\":5,", "\"TimeoutMs\":6,"},
          {"\"k\"", "\"m\""},
          {"\"RatePerS\":3", "\"RatePerS\":4"},
          {"\"BorrowMax\":4", "\"BorrowMax\":5"},
          {"\"Ver\":1", "\"Ver\":2"}
        }) {
      assertNotEquals(
          digest, Configuration.read(route.replace(change[0], change[1])).digest(), change[0]);
    }
    assertTrue(ConfigFactory.parseString(route).hasPath("Routes"));
  }
}
