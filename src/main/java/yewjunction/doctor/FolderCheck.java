package yewjunction.doctor;

import static yewjunction.limits.ToolLimits.FULL_DISK_SHARE;

import java.nio.file.Path;
import yewjunction.doctor.Finding.Code;
import yewjunction.raft.StorageInspection;

/** The log files of a data folder, read as the servers read them and left as they are. */
final class FolderCheck {
  private static final long BYTES_IN_MB = 1_048_576;

  private final long diskMb;
  private final Findings findings;

  /** Disk: megabytes, 0 when the settings do not say. */
  FolderCheck(final long diskMb, final Findings findings) {
    this.diskMb = diskMb;
    this.findings = findings;
  }

  void run(final Path folder) {
    for (final StorageInspection file : StorageInspection.inspect(folder)) {
      if (file.damaged()) {
        findings.add(
            Code.LEDGER_DAMAGED,
            file.file() + ": bad record at byte " + file.validBytes(),
            "if the other voters are well, empty the folder: the machine joins anew");
      } else if (file.validBytes() < file.bytes()) {
        findings.add(
            Code.LEDGER_TORN,
            file.file()
                + ": "
                + (file.bytes() - file.validBytes())
                + " bytes at the end are no record",
            "nothing: a running process is writing, or they are cut at the next start");
      }
      if (diskMb > 0 && file.bytes() > FULL_DISK_SHARE * diskMb * BYTES_IN_MB) {
        findings.add(
            Code.DISK_NEAR_FULL,
            file.file() + " has " + file.bytes() / BYTES_IN_MB + " MB of " + diskMb,
            "give it a larger disk");
      }
    }
  }
}
