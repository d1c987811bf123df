package yewjunction.sim;

import java.util.Random;
import yewjunction.base.Pulse;

/** Plants a fault: a pulse under which the questions of all lives of a process are numbered alike, from the start. */
public final class Lives {
    private Lives() {
    }

    public static Pulse numberedAlike(final Pulse pulse) {
        final Random alike = new Random(1) {
            @Override
            public long nextLong() {
                return 0;
            }
        };
        return new Pulse() {
            @Override
            public long nowMs() {
                return pulse.nowMs();
            }

            @Override
            public void after(final long delayMs, final Runnable task) {
                pulse.after(delayMs, task);
            }

            @Override
            public void post(final Runnable command) {
                pulse.post(command);
            }

            @Override
            public Random luck() {
                return alike;
            }
        };
    }
}
