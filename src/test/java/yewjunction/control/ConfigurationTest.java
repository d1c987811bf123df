package yewjunction.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.typesafe.config.Config;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import yewjunction.common.YewjunctionException;

/** Configurations that are good, and the code and path of each fault. */
class ConfigurationTest {
  private static final String ROUTE =
      "{'Name':'r1','Host':'','Pfx':'a.','Type':'kept','TimeoutMs':1500,'LingerS':35.0,"
          + "'Public':false,'Unknown':[1,2]}";
  private static final String OTHER =
      "{'Name':'r2','Host':'','Pfx':'a.b.','Type':'kept','TimeoutMs':900,'LingerS':25.5,'Public':true}";

  static String json(final String routes, final String tenants) {
    return ("{'Ver':7,'Routes':["
            + routes
            + "],'Svcs':[],'Lims':{'Subs':5},'Tenants':["
            + tenants
            + "]}")
        .replace('\'', '"');
  }

  @Test
  void theLongestPrefixWins() {
    final Configuration configuration =
        Configuration.read(
            json(ROUTE + "," + OTHER, "{'Name':'t','Apikeys':['k'],'RatePerS':3,'Burst':4}"));
    assertEquals("r1", configuration.routeOf("a.x").name());
    assertEquals("r2", configuration.routeOf("a.b.x").name());
    assertEquals(25_500, configuration.routeOf("a.b.x").retentionMs());
    assertNull(configuration.routeOf("b.x"));
    assertEquals("t", configuration.tenantOfKey("k").name());
    assertEquals(5, configuration.maxSubscriptions());
  }

  @Test
  void allFieldsAreKeptAsSent() {
    final String sent = json(ROUTE, "");
    assertEquals(Configuration.parse(sent), Configuration.parse(Configuration.read(sent).json()));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "{'Ver':7,'Routes':[{'Na|CONFIG_UNREADABLE",
        "[]|CONFIG_UNREADABLE",
        "{}|CONFIG_FIELD",
        "{'Ver':0}|CONFIG_FIELD",
        "{'Ver':'x'}|CONFIG_FIELD",
        "{'Ver':1,'Routes':[{'Name':'r','Pfx':'a','TimeoutMs':0}]}|CONFIG_TIMEOUT",
        "{'Ver':1,'Routes':[{'Name':'r','Pfx':'a'}]}|CONFIG_TIMEOUT",
        "{'Ver':1,'Routes':[{'Pfx':'a','TimeoutMs':5}]}|CONFIG_FIELD",
        "{'Ver':1,'Routes':[{'Name':'r','Pfx':'a','TimeoutMs':5},{'Name':'s','Pfx':'a','TimeoutMs':5}]}|CONFIG_PLACE",
        "{'Ver':1,'Routes':[{'Name':'r','Pfx':'a','TimeoutMs':5},{'Name':'r','Pfx':'b','TimeoutMs':5}]}|CONFIG_PLACE",
        "{'Ver':1,'Routes':[{'Name':'r','Pfx':'a','TimeoutMs':5,'Svc':'gone'}]}|CONFIG_SERVICE",
        "{'Ver':1,'Tenants':[{'Name':'t','Apikeys':['k']},{'Name':'u','Apikeys':['k']}]}|CONFIG_KEY",
        "{'Ver':1,'Routes':7}|CONFIG_FIELD",
        "{'Ver':1,'Tenants':[{'Name':'t','RatePerS':3,'BorrowMax':-1}]}|CONFIG_FIELD",
        "{'Ver':1,'Tenants':[{'Name':'t','RatePerS':3,'BorrowMax':2.5}]}|CONFIG_FIELD",
        "{'Ver':1,'Tenants':[{'Name':'t','RatePerS':3,'BorrowMax':'5'}]}|CONFIG_FIELD",
        "{'Ver':1,'Tenants':[{'Name':'t','RatePerS':3,'BorrowMax':null}]}|CONFIG_FIELD",
        "{'Ver':1,'Tenants':[{'Name':'t','RatePerS':3,'BorrowMax':1e12}]}|CONFIG_FIELD",
        "{'Ver':1,'Tenants':[{'Name':'t','BorrowMax':5}]}|CONFIG_FIELD",
        "{'Ver':1,'Tenants':[{'Name':'t','RatePerS':3,'BorrowMax':5,'RepayShare':0}]}|CONFIG_FIELD",
        "{'Ver':1,'Tenants':[{'Name':'t','RatePerS':3,'BorrowMax':5,'RepayShare':1.01}]}|CONFIG_FIELD",
        "{'Ver':1,'Tenants':[{'Name':'t','RatePerS':3,'BorrowMax':5,'RepayShare':-0.5}]}|CONFIG_FIELD",
        "{'Ver':1,'Tenants':[{'Name':'t','RatePerS':3,'BorrowMax':5,'RepayShare':[1]}]}|CONFIG_FIELD",
        "{'Ver':1,'Routes':[{'Name':'r','Pfx':'a','TimeoutMs':5,'After':['none']}]}|CONFIG_FIELD",
        "{'Ver':1,'Routes':[{'Name':'r','Pfx':'a','TimeoutMs':5,'After':['r']}]}|CONFIG_FIELD",
        "{'Ver':1,'Routes':[{'Name':'r','Pfx':'a','TimeoutMs':5,'After':'r'}]}|CONFIG_FIELD",
        "{'Ver':1,'Routes':[{'Name':'r','Pfx':'a','TimeoutMs':5,'After':[7]}]}|CONFIG_FIELD",
        "{'Ver':1,'Routes':[{'Name':'r','Pfx':'a','TimeoutMs':5,'After':null}]}|CONFIG_FIELD",
      })
  void whatIsInvalidIsNamed(final String json, final String code) {
    assertEquals(
        code,
        assertThrows(YewjunctionException.class, () -> Configuration.read(json.replace('\'', '"')))
            .code()
            .name());
  }

  @Test
  void borrowingIsReadAndItsErrorsNameThePath() {
    final Configuration configuration =
        Configuration.read(
            json(
                ROUTE,
                "{'Name':'t','Apikeys':['k'],'RatePerS':3,'Burst':4,'BorrowMax':50},"
                    + "{'Name':'u','RatePerS':3,'BorrowMax':7,'RepayShare':1}, {'Name':'v','RatePerS':3}"));
    assertEquals(50, configuration.tenant("t").borrowMax());
    assertEquals(500_000, configuration.tenant("t").repayPpm());
    assertEquals(1_000_000, configuration.tenant("u").repayPpm());
    assertEquals(0, configuration.tenant("v").borrowMax());
    final YewjunctionException failure =
        assertThrows(
            YewjunctionException.class,
            () -> Configuration.read(json(ROUTE, "{'Name':'t','RatePerS':3,'BorrowMax':-1}")));
    assertTrue(failure.getMessage().startsWith("Tenants.t.BorrowMax:"), failure.getMessage());
    final YewjunctionException other =
        assertThrows(
            YewjunctionException.class,
            () ->
                Configuration.read(
                    json(ROUTE, "{'Name':'t','RatePerS':3,'BorrowMax':1,'RepayShare':2}")));
    assertTrue(other.getMessage().startsWith("Tenants.t.RepayShare:"), other.getMessage());
  }

  @Test
  void declaredOrderIsReadAndARouteThatOthersNameCannotGo() {
    final String late = OTHER.replace("}", ",'After':['r1']}");
    final Configuration configuration = Configuration.read(json(ROUTE + "," + late, ""));
    assertTrue(configuration.routeOf("a.b.x").follows(configuration.routeOf("a.x")));
    assertFalse(configuration.routeOf("a.x").follows(configuration.routeOf("a.b.x")));
    final Config update = Configuration.parse("{\"Ver\":9,\"Del\":{\"Routes\":[\"r1\"]}}");
    final YewjunctionException failure =
        assertThrows(
            YewjunctionException.class, () -> Configuration.of(configuration.updated(update)));
    assertTrue(failure.getMessage().startsWith("Routes.r2.After:"), failure.getMessage());
    // Each may name the other: one order across both.
    Configuration.read(
        json(ROUTE.replace("'Unknown'", "'After':['r2'],'Unknown'") + "," + late, ""));
  }

  @Test
  void anUpdateReplacesAddsAndRemovesByName() {
    final Configuration configuration =
        Configuration.read(
            json(ROUTE + "," + OTHER, "{'Name':'t','Apikeys':['k'],'RatePerS':3,'Burst':4}"));
    final String update =
        "{'Ver':9,'Upsert':{'Routes':[{'Name':'r1','Host':'','Pfx':'a.','TimeoutMs':7},"
            + "{'Name':'r3','Host':'','Pfx':'c.','TimeoutMs':8}]},'Del':{'Routes':['r2','never'],'Tenants':['t']}}";
    final Configuration updated =
        Configuration.of(configuration.updated(Configuration.parse(update.replace('\'', '"'))));
    assertEquals(9, updated.version());
    assertEquals(7, updated.routeOf("a.b.x").timeoutMs());
    assertEquals(8, updated.routeOf("c.").timeoutMs());
    assertNull(updated.tenantOfKey("k"));
    assertEquals(5, updated.maxSubscriptions());
  }
}
