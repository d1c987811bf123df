package yewjunction.cli;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.net.httpserver.HttpServer;
import com.typesafe.config.ConfigFactory;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import yewjunction.common.ExitCode;
import yewjunction.doctor.Doctor;
import yewjunction.doctor.Finding.Code;
import yewjunction.settings.Settings;

/** The doctor against a healthy system and against broken ones. */
class DoctorTest {
  private final List<HttpServer> servers = new ArrayList<>();

  @AfterEach
  void close() {
    servers.forEach(server -> server.stop(0));
  }

  /** A control node that answers with this page; the address it listens on. */
  private String serve(final int status, final String body) throws IOException {
    final HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
    server.createContext(
        "/",
        exchange -> {
          final byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
          exchange.sendResponseHeaders(status, bytes.length);
          try (OutputStream out = exchange.getResponseBody()) {
            out.write(bytes);
          }
        });
    server.start();
    servers.add(server);
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  private static String outlook(
      final boolean leads,
      final String leader,
      final boolean votes,
      final int version,
      final String peers,
      final String stores) {
    return "{\"Nodename\":\"n\",\"Leads\":"
        + leads
        + ",\"Leader\":\""
        + leader
        + "\",\"Votes\":"
        + votes
        + ",\"Voters\":[\"a:1\",\"b:1\",\"c:1\"],\"Applied\":9,\"Ver\":"
        + version
        + ",\"Siblings\":["
        + peers
        + "],\"Vaults\":["
        + stores
        + "]}";
  }

  private static String closedAddress() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return "127.0.0.1:" + socket.getLocalPort();
    }
  }

  private static Settings settings(final List<String> seeds) {
    return new Settings(
        "n",
        "crux",
        List.of("ctl"),
        "127.0.0.1",
        "z",
        "",
        "",
        "127.0.0.1:1",
        7000,
        7015,
        seeds,
        false,
        "/data",
        1,
        2,
        5,
        0.1,
        20,
        1);
  }

  private static Set<Code> codes(final Settings settings, final Path folder) {
    final Set<Code> codes = new TreeSet<>();
    new Doctor(settings, folder).examine().forEach(finding -> codes.add(finding.code()));
    return codes;
  }

  @Test
  void aHealthySystemHasNoFindings(@TempDir final Path folder) throws Exception {
    final ByteArrayOutputStream out = new ByteArrayOutputStream();
    final PrintStream print = new PrintStream(out, true);
    assertEquals(ExitCode.OK, Rehearsal.raise(folder, print).play(), out.toString());
    final String settings = folder.resolve("edge.yaml").toString();
    assertEquals(
        ExitCode.OK,
        DoctorCommand.run(settings, folder.resolve("store1").toString(), null, false, print, print),
        out.toString());
    assertTrue(out.toString().endsWith("healthy\n"), out.toString());
  }

  @Test
  void silentAndOddSeedsAndAMissingLeaderAreTold() throws IOException {
    final String alone = serve(200, outlook(false, "", true, 3, "", ""));
    assertEquals(
        Set.of(Code.SEED_SILENT, Code.SEED_ODD, Code.NO_LEADER, Code.VOTERS_FEW),
        codes(settings(List.of(closedAddress(), serve(500, ""), alone)), null));
  }

  @Test
  void disagreementAndOutsidersAreTold() throws IOException {
    assertEquals(
        Set.of(Code.LEADERS_DIFFER, Code.VERSIONS_DIFFER, Code.CRUX_OUTSIDE, Code.VAULTS_FEW),
        codes(
            settings(
                List.of(
                    serve(200, outlook(true, "a:1", true, 3, "", "")),
                    serve(200, outlook(true, "b:1", true, 4, "", "")),
                    serve(200, outlook(false, "a:1", false, 3, "", "").replace(",\"c:1\"", "")))),
            null));
  }

  @Test
  void whatProcessesSayOfThemselvesIsTold() throws IOException {
    final String well =
        "{\"Nodename\":\"e1\",\"Duty\":\"tide\",\"Az\":\"z\",\"SeenMs\":10,\"Held\":true,\"Waiting\":3,"
            + "\"Dark\":false,\"DiskOwedMs\":0,\"MemoryPct\":40}";
    final String ill =
        well.replace("true", "false")
            .replace("\"Dark\":false", "\"Dark\":true")
            .replace(":3,", ":900,")
            .replace("OwedMs\":0", "OwedMs\":4000")
            .replace(":40", ":97");
    final String stores =
        "{\"Nodename\":\"v1\",\"Applied\":9,\"SeenMs\":10},{\"Nodename\":\"v2\",\"Applied\":9,\"SeenMs\":10},"
            + "{\"Nodename\":\"v3\",\"Applied\":9,\"SeenMs\":10}";
    final String page =
        outlook(true, "a:1", true, 3, "", stores)
            .replaceFirst("\"Applied\":9,", "\"Addr\":\"a:1\",\"Applied\":9,\"Wards\":[WARDS],")
            .replace(",\"b:1\",\"c:1\"", "");
    assertEquals(Set.of(), codes(settings(List.of(serve(200, page.replace("WARDS", well)))), null));
    assertEquals(
        Set.of(
            Code.LEASE_LAPSED,
            Code.EDGE_DARK,
            Code.INTAKE_FILLS,
            Code.DISK_SLOW,
            Code.MEMORY_NEAR_FULL),
        codes(settings(List.of(serve(200, page.replace("WARDS", ill)))), null));
    assertEquals(
        Set.of(Code.VOTER_GONE),
        codes(
            settings(
                List.of(serve(200, page.replace("WARDS", "").replace("[\"a:1\"]", "[\"z:1\"]")))),
            null));
  }

  @Test
  void edgesAndStoresInTroubleAreTold() throws IOException {
    final String peers =
        "{\"Nodename\":\"e1\",\"Duty\":\"tide\",\"Az\":\"z\",\"Addr\":\"1\",\"Up\":true,\"Suspect\":false,\"Ready\":false},"
            + "{\"Nodename\":\"e2\",\"Duty\":\"tide\",\"Az\":\"z\",\"Addr\":\"2\",\"Up\":true,\"Suspect\":true,\"Ready\":true}";
    final String stores =
        "{\"Nodename\":\"v1\",\"Applied\":9000,\"SeenMs\":10},{\"Nodename\":\"v2\",\"Applied\":20,\"SeenMs\":10},"
            + "{\"Nodename\":\"v3\",\"Applied\":9000,\"SeenMs\":60000}";
    final List<String> seeds = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      seeds.add(serve(200, outlook(i == 0, "a:1", true, 3, peers, i == 0 ? stores : "")));
    }
    assertEquals(
        Set.of(
            Code.EDGE_NOT_READY,
            Code.SIBLING_SUSPECT,
            Code.VAULTS_FEW,
            Code.VAULT_BEHIND,
            Code.VAULT_SILENT),
        codes(settings(seeds), null));
  }

  @Test
  void accountsThatDifferAndTenantsAtTheirLimitAreTold() throws IOException {
    final String account =
        "{\"Tenant\":\"t\",\"Index\":7,\"BorrowMax\":50.0,\"RepayShare\":0.5,\"Tokens\":1.0,\"Debt\":3.0,"
            + "\"Borrowed\":9.0,\"Repaid\":6.0}";
    final String stores =
        "{\"Nodename\":\"v1\",\"Applied\":9,\"SeenMs\":10,\"Accounts\":[ONE]},"
            + "{\"Nodename\":\"v2\",\"Applied\":9,\"SeenMs\":10,\"Accounts\":[TWO]},{\"Nodename\":\"v3\",\"Applied\":9,\"SeenMs\":10}";
    final String page = outlook(true, "a:1", true, 3, "", stores).replace(",\"b:1\",\"c:1\"", "");
    assertEquals(
        Set.of(),
        codes(
            settings(List.of(serve(200, page.replace("ONE", account).replace("TWO", account)))),
            null));
    // At another entry it may well differ; at the same one it may not.
    final String later = account.replace(":7,", ":8,").replace("3.0", "49.5");
    assertEquals(
        Set.of(Code.BORROW_AT_LIMIT),
        codes(
            settings(List.of(serve(200, page.replace("ONE", account).replace("TWO", later)))),
            null));
    assertEquals(
        Set.of(Code.ACCOUNTS_DIFFER),
        codes(
            settings(
                List.of(
                    serve(
                        200,
                        page.replace("ONE", account)
                            .replace("TWO", account.replace("6.0", "5.0"))))),
            null));
  }

  @Test
  void breaksOfTheDeclaredOrderAreTold() throws IOException {
    final String stores =
        "{\"Nodename\":\"v1\",\"Applied\":9,\"SeenMs\":10},{\"Nodename\":\"v2\",\"Applied\":9,\"SeenMs\":10},"
            + "{\"Nodename\":\"v3\",\"Applied\":9,\"SeenMs\":10}";
    final String page =
        outlook(true, "a:1", true, 3, "", stores)
            .replace(",\"b:1\",\"c:1\"", "")
            .replaceFirst("\\{", "{\"Channels\":[CHANNELS],");
    final String gap = "{\"Topic\":\"s.t\",\"Nodename\":\"e1\",\"Breaks\":0,\"Gaps\":4}";
    assertEquals(
        Set.of(), codes(settings(List.of(serve(200, page.replace("CHANNELS", gap)))), null));
    assertEquals(
        Set.of(Code.ORDER_BROKEN),
        codes(
            settings(List.of(serve(200, page.replace("CHANNELS", gap.replace(":0", ":1"))))),
            null));
  }

  @Test
  void plannedWorkIsNamedBesideWhatItExplains(@TempDir final Path folder) throws Exception {
    final String down =
        "{\"Nodename\":\"e1\",\"Duty\":\"tide\",\"Az\":\"z\",\"Addr\":\"1\",\"Up\":false,\"Suspect\":false,\"Ready\":false}";
    final String seed = serve(200, outlook(false, "a:1", true, 3, down, ""));
    Files.writeString(
        folder.resolve("now.ics"),
        "BEGIN:VCALENDAR\r\nVERSION:2.0\r\nPRODID:x\r\nBEGIN:VEVENT\r\nUID:1\r\n"
            + "DTSTART:20000101T000000Z\r\nDTEND:20000101T235959Z\r\nRRULE:FREQ=DAILY\r\nSUMMARY:new kernel on e1\r\nEND:VEVENT\r\nEND:VCALENDAR\r\n");
    Files.writeString(folder.resolve("bad.ics"), "nothing of the kind");
    final var findings =
        new Doctor(settings(List.of(seed)), null)
            .planned(yewjunction.maintenance.MaintenanceWindows.read(folder))
            .examine();
    assertTrue(
        findings.stream()
            .anyMatch(
                one ->
                    one.code() == Code.SIBLING_SUSPECT
                        && one.planned().equals("new kernel on e1")));
    assertTrue(
        findings.stream()
            .anyMatch(one -> one.code() == Code.CALENDAR_BAD && one.seen().contains("bad.ics")));
  }

  @Test
  void aDataFolderIsReadAndLeftAsItIs(@TempDir final Path folder) throws Exception {
    final byte[] large = new byte[700_000];
    Files.write(folder.resolve("messages"), large);
    Files.write(folder.resolve("other"), large);
    final Set<Code> codes = codes(settings(List.of()), folder);
    assertEquals(Set.of(Code.LEDGER_TORN, Code.DISK_NEAR_FULL), codes);
    assertArrayEquals(large, Files.readAllBytes(folder.resolve("messages")));
  }

  @Test
  void findingsComeAsJsonAndWithTheirCodes(@TempDir final Path folder) throws Exception {
    final ByteArrayOutputStream out = new ByteArrayOutputStream();
    final PrintStream print = new PrintStream(out, true);
    final Path file =
        Files.writeString(
            folder.resolve("s.yaml"),
            "Nodename: n\nRole: r\nServes: []\nIp: 127.0.0.1\nAz: z\n"
                + "PortRange: [7000, 7015]\nSeeds: ['"
                + closedAddress()
                + "']\n");
    assertEquals(1, DoctorCommand.run(file.toString(), null, null, true, print, print));
    assertEquals(
        "SEED_SILENT",
        ConfigFactory.parseString("{\"All\":" + out + "}")
            .getConfigList("All")
            .get(0)
            .getString("Code"));
    assertEquals(
        2, DoctorCommand.run(folder.resolve("none").toString(), null, null, false, print, print));
    assertEquals(
        2,
        DoctorCommand.run(
            file.toString(), folder.resolve("none").toString(), null, false, print, print));
  }
}
