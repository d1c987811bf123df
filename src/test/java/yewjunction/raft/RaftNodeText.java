package yewjunction.raft;

/** Where a member stands, in one line, for the text of a failed test. */
final class RaftNodeText {
  private RaftNodeText() {}

  static String of(final RaftNode member) {
    return member.identity()
        + " term "
        + member.currentTerm()
        + " last "
        + member.log().lastIndex()
        + "/"
        + member.log().lastTerm()
        + " commit "
        + member.commitIndex()
        + " leads "
        + member.isReadyLeader()
        + " leader "
        + member.leader()
        + " voters "
        + member.voters();
  }
}
