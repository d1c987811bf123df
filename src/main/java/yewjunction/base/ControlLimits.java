package yewjunction.base;

/** Constants of the control side that came after Limits, each with its unit and the reason for its value. */
public final class ControlLimits {
    private ControlLimits() {
    }
    // --- membership ---
    /** ms; a process that ends waits at most so long for its seat to pass: a change of voters takes a tenth, the grace is 6 s. */
    public static final long LEAVE_MS = 1_000;
    /** ms; pace of looking whether it has passed, and of saying that the process ends. */
    public static final long LEAVE_LOOK_MS = 20;
    /** ms; how long that word counts at the leader: it is said again all the time, and a process may have come back since. */
    public static final long LEAVE_SAID_MS = 300;
    // --- homes ---
    /** ms; a home that has lacked for so long what its leader had committed serves no more edges: about five times an aim. */
    public static final long HOME_BEHIND_MS = 500;
    // --- desk ---
    /** ms; a vault in touch has called a new leader by then: four of its paces (LEASE_PACE_MS), as long as a lease lasts. */
    public static final long VAULTS_HEARD_MS = 2_500;
    /** s; a caller that sends or reads for longer has gone: the largest body over 0.6 Mbit/s takes less. */
    public static final int CALL_TRANSFER_S = 15;
    /** bytes; for so many a call may take a millisecond more than CALL_MS: a route has about 150, and is read in 0.1 ms. */
    public static final int CALL_BYTES_PER_MS = 100;
    /** ms; an idle call thread goes after that. */
    public static final long CALL_THREAD_IDLE_MS = 2_000;
    /** bytes; a body that is too big is read so far before it is denied: closed on, its sender might not read the answer. */
    public static final int CALL_READ_MOST = 16 << 20;
}
