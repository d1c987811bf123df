package yewjunction.raft;

/** Faults planted around the real code, to show that the check finds them. */
enum ModelFault {
  NONE,
  /** A disk that says that it synced, and did not. */
  SYNC_SKIPPED,
  /** A process that starts again finds no vote of before on its disk. */
  VOTE_FORGOTTEN,
  /** What waits for the disk goes on before the disk has done it. */
  ANSWERED_BEFORE_SYNC,
  /** A machine with an empty disk comes back under the identity it had. */
  OLD_NAME_AFTER_WIPE,
  /** A peer's answer counts as one to a later question whether this member still leads. */
  ROUND_MADE_UP,
  /** Nobody hears that a connection is gone. */
  CLOSE_UNTOLD
}
