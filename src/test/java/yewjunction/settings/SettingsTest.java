package yewjunction.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import yewjunction.common.ErrorCode;
import yewjunction.common.YewjunctionException;

/** Settings files that are good, and what is said of each bad field. */
class SettingsTest {
  private static final String GOOD =
      """
        Nodename: edge-1
        Role: tide
        Serves: [edge, ctl]
        Ip: 10.1.0.3
        Az: zone-a
        Listen: {Fe: '10.1.0.3:80', Ready: '10.1.0.3:81', Ctl: '10.1.0.3:82'}
        PortRange: [7000, 7015]
        Seeds: ['10.1.0.3:82', '10.2.0.3:82']
        Bootstrap: true
        Datadir: /data
        Tolerate: {Mach: 1}
        Bounds: {PingS: 2, QuotaExcess: 0.1}
        NeverHeardOf: {a: [1]}
        """;

  @Test
  void unknownFieldsAreIgnoredAndTheRestIsRead() {
    final Settings settings = Settings.read(GOOD);
    assertEquals("10.1.0.3:80", settings.clientAddress());
    assertEquals("10.2.0.3:7001", settings.controlNodeAddresses().get(1));
    assertEquals(0.1, settings.quotaExcess());
    assertTrue(settings.bootstrap());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "Nodename: edge-1|Nodename:|Nodename",
        "Ip: 10.1.0.3|Ip: ten|Ip",
        "PortRange: [7000, 7015]|PortRange: [7000]|PortRange",
        "PortRange: [7000, 7015]|PortRange: [7000, 7000]|PortRange",
        "Fe: '10.1.0.3:80', |''|Listen.Fe",
        "Seeds: ['10.1.0.3:82', '10.2.0.3:82']|Seeds: [nowhere]|Seeds",
        "Datadir: /data|Datadir: ''|Datadir",
        "PingS: 2|PingS: fast|Bounds.PingS",
        "Listen: {|Listen: [{|Listen",
      })
  void aBadFieldIsNamed(final String good, final String bad, final String field) {
    final YewjunctionException failure =
        assertThrows(YewjunctionException.class, () -> Settings.read(GOOD.replace(good, bad)));
    assertTrue(
        failure.getMessage().startsWith(field) || failure.code() == ErrorCode.SETTINGS_UNREADABLE,
        failure.getMessage());
  }

  @Test
  void whatIsNoYamlIsUnreadable() {
    assertEquals(
        ErrorCode.SETTINGS_UNREADABLE,
        assertThrows(YewjunctionException.class, () -> Settings.read("a: [")).code());
    assertEquals(
        ErrorCode.SETTINGS_UNREADABLE,
        assertThrows(YewjunctionException.class, () -> Settings.read("just words")).code());
  }
}
