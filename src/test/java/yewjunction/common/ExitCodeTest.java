package yewjunction.common;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Supervisors act on the exit codes of the README: none changes. */
class ExitCodeTest {
  @Test
  void theCodesAreThoseOfTheFirstRelease() {
    assertEquals(
        List.of(0, 1, 2, 3, 4, 5, 6, 7),
        List.of(
            ExitCode.OK,
            ExitCode.FINDINGS,
            ExitCode.USAGE,
            ExitCode.SETTINGS,
            ExitCode.STORAGE_DAMAGED,
            ExitCode.DISK_FAILED,
            ExitCode.ADDRESS_UNAVAILABLE,
            ExitCode.UNEXPECTED_ERROR));
  }
}
