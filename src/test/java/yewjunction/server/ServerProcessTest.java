package yewjunction.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import yewjunction.common.ExitCode;
import yewjunction.membership.NodeRole;

/** How a process starts and ends on real threads. */
class ServerProcessTest {
  /** Stays: whoever ends a process ends its JVM, and here the threads go on writing. */
  private static Path folder() throws Exception {
    return Files.createTempDirectory(Path.of("target"), "process");
  }

  private static ServerProcess controlProcess(final Path folder, final int controlPort)
      throws Exception {
    try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.9"))) {
      final int port = Math.min(probe.getLocalPort(), 65_000);
      final Path file =
          Files.writeString(
              folder.resolve("control.yaml"),
              "Nodename: n\nRole: ctl\nServes: [ctl]\nIp: 127.0.0.9\nAz: z\n"
                  + "Listen: {Ctl: '127.0.0.9:"
                  + controlPort
                  + "'}\nPortRange: ["
                  + port
                  + ", "
                  + (port + 3)
                  + "]\nSeeds: ['127.0.0.9:"
                  + controlPort
                  + "']\nBootstrap: true\nDatadir: "
                  + folder.resolve("data")
                  + "\n");
      final SettingsReloader settingsFile = new SettingsReloader(file);
      return new ServerProcess(settingsFile, settingsFile.load(), NodeRole.CONTROL);
    }
  }

  @Test
  void aProcessThatCannotBindItsPortEnds() throws Exception {
    try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.9"))) {
      final ServerProcess process = controlProcess(folder(), taken.getLocalPort());
      assertThrows(
          UncheckedIOException.class,
          () -> assertTimeoutPreemptively(Duration.ofSeconds(20), process::run));
    }
  }

  @Test
  void signalsThatCameBeforeItRanStartItAndEndItOnce() throws Exception {
    final int port;
    try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.9"))) {
      port = probe.getLocalPort();
    }
    final SignalHandlers signals = new SignalHandlers();
    signals.onSignal(SignalHandlers.Kind.RELOAD);
    signals.onSignal(SignalHandlers.Kind.STOP);
    signals.onSignal(SignalHandlers.Kind.STOP);
    final Path folder = folder();
    final ServerProcess process = controlProcess(folder, port).withSignals(signals);
    assertEquals(ExitCode.OK, assertTimeoutPreemptively(Duration.ofSeconds(20), process::run));
    // It had started before it stopped: what it is called stands on its disk.
    assertTrue(Files.size(folder.resolve("data").resolve("charter")) > 0);
  }

  @Test
  void anErrorOfTheOwnersTurnEndsTheProcessAndAnExceptionDoesNot() {
    final List<Integer> codes = new ArrayList<>();
    ServerProcess.onAgentError(new java.io.IOException("the selector"), codes::add);
    assertEquals(List.of(), codes);
    ServerProcess.onAgentError(new OutOfMemoryError(), codes::add);
    assertEquals(List.of(ExitCode.UNEXPECTED_ERROR), codes);
  }
}
