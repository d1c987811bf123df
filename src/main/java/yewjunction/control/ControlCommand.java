package yewjunction.control;

import java.util.ArrayList;
import java.util.List;

/**
 * One command in the log of the control group. Which fields count depends on the kind. Fields are
 * encoded by position: one may be added at the end, and none may be moved, removed or given another
 * type.
 */
final class ControlCommand {
  static final int SET_CONFIGURATION = 1;
  static final int ASSIGN_REPLICA = 2;
  static final int RETIRE_REPLICA = 3;
  static final int SET_FIRST_STORES = 4;
  static final int BEGIN_RETIREMENT = 5;
  static final int FINISH_RETIREMENT = 6;

  int kind;

  /**
   * SET_CONFIGURATION: the whole text, its version, the version it builds on, and the digest of the
   * request.
   */
  String json = "";

  long version;
  long baseVersion;
  String digest = "";

  /** ASSIGN_REPLICA and BEGIN_RETIREMENT: the process or machine. */
  String address = "";

  String node = "";
  long life;

  /** RETIRE_REPLICA: the id. */
  long replicaId;

  /** SET_FIRST_STORES: identities, and their zones in the same order. */
  List<String> identities = new ArrayList<>();

  List<String> zones = new ArrayList<>();

  /**
   * SET_CONFIGURATION: the update that leads there from the version before, and the digest of the
   * result; null when there is none.
   */
  String patch;

  long patchDigest;

  /** SET_CONFIGURATION: the former retentions that are in force from this version on. */
  List<FormerRetention> formerRetentions = new ArrayList<>();

  ControlCommand() {}

  ControlCommand(final int kind) {
    this.kind = kind;
  }
}
