package yewjunction.system;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static yewjunction.system.OperatorCalls.config;

import com.typesafe.config.Config;
import com.typesafe.config.ConfigFactory;
import com.typesafe.config.ConfigList;
import com.typesafe.config.ConfigObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import yewjunction.control.OperatorApi;

/**
 * The operators' scripts know the answers by status, error code and names of fields: none changes.
 * The recorded ones were made by release 0.1.0 (revision 268ab92).
 */
class OperatorAnswersTest {
  private static final int MAX_ATTEMPTS = 20;

  private static final List<String> FAULTY =
      List.of(
          "{\"Ver\":9,\"Routes\":[{\"Name\":\"a\",\"Pfx\":\"a\"}]}",
          "{\"Ver\":9,\"Routes\":[{\"Name\":\"a\",\"Pfx\":\"a\",\"TimeoutMs\":5},"
              + "{\"Name\":\"a\",\"Pfx\":\"b\",\"TimeoutMs\":5}]}",
          "{\"Ver\":9,\"Routes\":[{\"Name\":\"a\",\"Pfx\":\"a\",\"TimeoutMs\":5},"
              + "{\"Name\":\"b\",\"Pfx\":\"a\",\"TimeoutMs\":5}]}",
          "{\"Ver\":9,\"Routes\":[{\"Name\":\"a\",\"Pfx\":\"a\",\"TimeoutMs\":5,\"Svc\":\"x\"}]}",
          "{\"Ver\":9,\"Routes\":[{\"Name\":\"a\",\"Pfx\":\"a\",\"TimeoutMs\":5,\"After\":[\"z\"]}]}",
          "{\"Ver\":9,\"Tenants\":[{\"Name\":\"t\",\"Apikeys\":[\"k\"]},{\"Name\":\"u\",\"Apikeys\":[\"k\"]}]}",
          "{\"Ver\":9,\"Tenants\":[{\"Name\":\"t\",\"BorrowMax\":-1}]}");

  private final List<String> lines = new ArrayList<>();
  private SimulatedCluster cluster;

  private OperatorApi.Response ask(
      final String method, final String path, final String base, final String body) {
    return new OperatorCalls(cluster)
        .insist(MAX_ATTEMPTS, method, path, Long.parseLong(base), body)
        .response;
  }

  /** Names of all fields, those of lists by their first item; and the code of an error. */
  private static String shape(final String json) {
    if (json.isEmpty()) {
      return "";
    }
    final Config read = ConfigFactory.parseString(json);
    final String code = read.hasPath("Err") ? " Err=" + read.getString("Err") : "";
    return fields(read.root()) + code;
  }

  private static String fields(final ConfigObject object) {
    final List<String> names = new ArrayList<>();
    new TreeMap<>(object)
        .forEach(
            (name, value) -> {
              String inside = "";
              if (value instanceof ConfigObject nested) {
                inside = fields(nested);
              } else if (value instanceof ConfigList list
                  && !list.isEmpty()
                  && list.get(0) instanceof ConfigObject first) {
                inside = "[" + fields(first) + "]";
              }
              names.add(name + inside);
            });
    return names.toString();
  }

  private void note(final String method, final String path, final String base, final String sent) {
    final OperatorApi.Response answer = ask(method, path, base, sent);
    lines.add(method + " " + path + " " + answer.status() + " " + shape(answer.json()));
  }

  @Test
  void statusCodesErrorCodesAndFieldsAreThoseOfTheFirstRelease() throws IOException {
    cluster = new SimulatedCluster(1);
    cluster.network.runFor(1_500);
    note("GET", "/-/config/show", "0", "");
    note("POST", "/-/config/replace", "3", config(5, "s."));
    note("POST", "/-/config/replace", "0", "{");
    note("POST", "/-/config/replace", "0", "{\"Ver\":0}");
    note("POST", "/-/config/update", "0", "{\"Ver\":1}");
    note("POST", "/-/config/replace", "0", config(5, "s."));
    note("POST", "/-/config/replace", "5", config(4, "s."));
    note("POST", "/-/config/update", "5", "{\"Upsert\":{}}");
    note("GET", "/-/config/show", "0", "");
    note("GET", "/-/nothing", "0", "");
    note("GET", "/-/config/replace", "0", "");
    note("POST", "/-/config/show", "0", "");
    note("POST", "/-/config/replace", "0", "x".repeat(2 << 20));
    cluster.network.runFor(5_000);
    note("GET", "/-/outlook/show", "0", "");
    note("GET", "/-/order/show", "0", "");
    note("GET", "/-/quota/t/show", "0", "");
    note("GET", "/-/quota/nobody/show", "0", "");
    note("GET", "/-/retire/nobody/show", "0", "");
    note("POST", "/-/retire/nobody/begin", "0", "{}");
    note("POST", "/-/retire/node-10.1.0.9:7000/begin", "0", "{}");
    note("GET", "/-/retire/node-10.1.0.9:7000/show", "0", "");
    for (final String faulty : FAULTY) {
      note("POST", "/-/config/replace", "5", faulty);
    }
    assertEquals(Files.readAllLines(Path.of("src/test/resources/operator-answers.txt")), lines);
  }
}
