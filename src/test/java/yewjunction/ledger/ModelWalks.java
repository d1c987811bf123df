package yewjunction.ledger;

import java.util.Random;

/** Long random schedules, each with its own leaning: what befalls members, and who is cut off for a stretch. */
final class ModelWalks {
    /** By kind of step, in thousandths of a plain letter. */
    private static final int[] WEIGHTS = {250, 800, 1_000, 1_000, 15, 25, 300, 40, 12, 150, 40, 10, 0};
    private final ModelSetup setup;
    private final ModelFault fault;
    private final int length;
    private long steps;

    ModelWalks(final ModelSetup setup, final ModelFault fault, final int length) {
        this.setup = setup;
        this.fault = fault;
        this.length = length;
    }

    long steps() {
        return steps;
    }

    /** What the walk of that seed breaks; null for nothing. */
    ModelFinding walk(final long seed) {
        final Random luck = new Random(seed * 0x9E3779B97F4A7C15L);
        final int[] weights = WEIGHTS.clone();
        for (int kind = 0; kind < weights.length; kind++) {
            weights[kind] *= new int[] {1, 4, 16}[luck.nextInt(3)];
        }
        final StringBuilder schedule = new StringBuilder();
        boolean afterwards = false;
        try {
            final ModelWorld world = new ModelWorld(setup, fault);
            world.budget = ModelBudget.plenty();
            int away = -1;
            for (int at = 0; at < length; at++) {
                if (luck.nextInt(25) == 0) {
                    // For a stretch nothing reaches or leaves one of them.
                    away = luck.nextInt(2 * world.hosts.size());
                }
                final char step = choose(world.enabled(), weights, away, luck);
                schedule.append(step);
                steps++;
                world.apply(step);
            }
            afterwards = true;
            world.goesOn();
            return null;
        } catch (final ModelViolation violation) {
            return new ModelFinding(setup, fault, schedule.toString(), afterwards, violation.getMessage());
        }
    }

    private static char choose(final String enabled, final int[] weights, final int away, final Random luck) {
        final int[] sums = new int[enabled.length()];
        int sum = 0;
        for (int at = 0; at < sums.length; at++) {
            final char step = enabled.charAt(at);
            final int kind = ModelStep.kind(step);
            final boolean held = (kind == ModelStep.DELIVER || kind == ModelStep.REPLY)
                && (ModelStep.member(step) == away || ModelStep.other(step) == away);
            sum += held ? 0 : weights[kind] / (kind == ModelStep.CRASH && ModelStep.which(step) > 0 ? 3 : 1);
            sums[at] = sum;
        }
        final int drawn = luck.nextInt(Math.max(1, sum));
        for (int at = 0; at < sums.length; at++) {
            if (drawn < sums[at]) {
                return enabled.charAt(at);
            }
        }
        return enabled.charAt(luck.nextInt(enabled.length()));
    }
}
