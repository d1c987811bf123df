package yewjunction.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Paths of the operator's calls, and those that are none. */
class OperatorCallTest {
  @ParameterizedTest
  @CsvSource({
    "/-/config/show, GET, SHOW_CONFIGURATION",
    "/-/config/replace, POST, REPLACE_CONFIGURATION",
    "/-/config/update, POST, UPDATE_CONFIGURATION",
    "/-/outlook/show, GET, SHOW_STATUS",
    "/-/order/show, GET, SHOW_ORDER_VIOLATIONS",
    "/-/quota/t1/show, GET, SHOW_QUOTA",
    "/-/retire/node-1/begin, POST, BEGIN_RETIREMENT",
    "/-/retire/node-1/show, GET, SHOW_RETIREMENT"
  })
  void everyCallHasItsPathAndMethod(
      final String path, final String method, final OperatorCall expected) {
    final OperatorCall call = OperatorCall.of(path);
    assertEquals(expected, call);
    assertEquals(method, call.method());
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "/",
        "/-/config",
        "/-/config/",
        "/-/config/show/",
        "/-/config/begin",
        "/x/config/show",
        "/-/quota/show",
        "/-/quota/t1/begin",
        "/-/retire/node-1/update",
        "/-/retire/a/b/show",
        "/-/outlook/x/show",
        "/-/CONFIG/show"
      })
  void otherPathsAreNoCalls(final String path) {
    assertNull(OperatorCall.of(path));
  }

  @Test
  void aNameIsWhatStandsInItsPlace() {
    assertEquals("node-1", OperatorCall.nameIn("/-/retire/node-1/begin"));
    assertEquals("", OperatorCall.nameIn("/-/quota//show"));
    assertEquals("*", OperatorCall.nameIn("/-/quota/*/show"));
  }
}
