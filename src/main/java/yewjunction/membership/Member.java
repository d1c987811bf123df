package yewjunction.membership;

/**
 * One process as the members know it. Encoded by position: a field may be added at the end, and
 * none may be moved, removed or given another type. Of two versions the one with the higher
 * incarnation wins, then the worse state.
 */
public final class Member {
  static final int UP = 0;
  static final int SUSPECT = 1;
  static final int LEFT = 2;
  static final int GONE = 3;

  /** ip:port for other nodes; the key. */
  public String address = "";

  public String node = "";
  public String zone = "";

  /** The wire name of its {@link NodeRole}. */
  public String role = "";

  /** Where clients connect; empty when they do not. */
  public String clientAddress = "";

  /** A number drawn at each start of the process: tells lives at one address apart. */
  public long life;

  public boolean ready;
  long incarnation;
  int state;

  /**
   * Sets the first incarnation of this life. It should be above those of earlier lives; if not,
   * refuting corrects it.
   */
  public void setIncarnation(final long firstNumber) {
    incarnation = firstNumber;
  }

  Member copy() {
    final Member copied = new Member();
    copied.address = address;
    copied.node = node;
    copied.zone = zone;
    copied.role = role;
    copied.clientAddress = clientAddress;
    copied.life = life;
    copied.ready = ready;
    copied.incarnation = incarnation;
    copied.state = state;
    return copied;
  }

  /** A hash that differs when two members know different things of this one. */
  long digest() {
    long mixed =
        (address.hashCode() * 31L + life) * 0x9e3779b97f4a7c15L + incarnation * 2 + (ready ? 1 : 0);
    mixed = (mixed ^ mixed >>> 29) * 0xbf58476d1ce4e5b9L;
    return mixed ^ mixed >>> 32;
  }

  /** Whether it is thought to run; a suspected member still is. */
  public boolean isUp() {
    return state <= SUSPECT;
  }

  /** Whether it has not answered, and may still refute that. */
  public boolean isSuspect() {
    return state == SUSPECT;
  }

  /**
   * Whether this version wins over a known one: a higher incarnation does, then the worse state.
   */
  boolean supersedes(final Member known) {
    return incarnation > known.incarnation
        || incarnation == known.incarnation && state > known.state;
  }
}
