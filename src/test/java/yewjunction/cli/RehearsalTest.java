package yewjunction.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import yewjunction.common.ExitCode;

/** The real processes on loopback, over the real wire, and the command line's answers. */
class RehearsalTest {
  @Test
  void aWholeSystemCarriesAMessage() throws Exception {
    final ByteArrayOutputStream out = new ByteArrayOutputStream();
    final int code = Rehearsal.run(new PrintStream(out, true));
    assertEquals(ExitCode.OK, code, out.toString());
    assertTrue(out.toString().contains("MSG rehearsal.one"), out.toString());
    // The same on the real wire with a filter, and with another one mid-flow.
    assertTrue(out.toString().contains("repo-1,tool-*"), out.toString());
    assertTrue(out.toString().contains("rehearsal: repo-1 no. 3"), out.toString());
    assertTrue(out.toString().contains("rehearsal: repo-2 no. 5"), out.toString());
    // A dispatch behind the order change it follows, twice: live, and taken up by cursors.
    assertTrue(out.toString().split("MSG dispatch.one ", -1).length == 3, out.toString());
    // What went beyond the share was borrowed up to the limit, and shown.
    assertTrue(
        out.toString().contains("REFUSE PUB rehearsal.rush")
            && out.toString().contains("\"Repaid\":3.0"),
        out.toString());
  }

  @Test
  void wrongArgumentsAndBadFilesHaveTheirCodes(@TempDir final Path folder) throws Exception {
    assertEquals(ExitCode.USAGE, Main.run(new String[] {}));
    assertEquals(ExitCode.USAGE, Main.run(new String[] {"nonsense"}));
    assertEquals(ExitCode.USAGE, Main.run(new String[] {"check"}));
    assertEquals(
        ExitCode.SETTINGS,
        Main.run(new String[] {"control-plane", "--settings", folder.resolve("none").toString()}));
    final Path bad = Files.writeString(folder.resolve("bad.json"), "{\"Ver\":0}");
    assertEquals(1, Main.run(new String[] {"check", bad.toString()}));
    final Path good = Files.writeString(folder.resolve("good.json"), "{\"Ver\":3}");
    assertEquals(ExitCode.OK, Main.run(new String[] {"check", good.toString()}));
  }
}
