package yewjunction.base;

/** Constants of the control side that came after Limits, each with its unit and the reason for its value. */
public final class ControlLimits {
    private ControlLimits() {
    }
    // --- homes ---
    /** ms; a home that has lacked for so long what its leader had committed serves no more edges: about five times an aim. */
    public static final long HOME_BEHIND_MS = 500;
}
