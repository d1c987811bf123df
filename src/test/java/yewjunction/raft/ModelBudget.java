package yewjunction.raft;

/** How often a schedule may still do what is not the plain course of things. */
final class ModelBudget {
  /** By kind of step; a kind that is not bounded has plenty. */
  final int[] left = new int[14];

  ModelBudget(
      final int timers,
      final int crashes,
      final int wipes,
      final int breaks,
      final int freezes,
      final int proposals,
      final int confirms,
      final int transfers) {
    java.util.Arrays.fill(left, Integer.MAX_VALUE);
    left[ModelStep.TIMER] = timers;
    left[ModelStep.CRASH] = crashes;
    left[ModelStep.WIPE] = wipes;
    left[ModelStep.BREAK] = breaks;
    left[ModelStep.FREEZE] = freezes;
    left[ModelStep.PROPOSE] = proposals;
    left[ModelStep.CONFIRM] = confirms;
    left[ModelStep.TRANSFER] = transfers;
    left[ModelStep.LEAVE] = transfers;
  }

  static ModelBudget plenty() {
    final int most = 1_000_000;
    return new ModelBudget(most, most, most, most, most, most, most, most);
  }

  ModelBudget(final ModelBudget other) {
    System.arraycopy(other.left, 0, left, 0, left.length);
  }

  boolean allows(final int kind) {
    return left[kind] > 0;
  }

  void spend(final int kind) {
    if (left[kind] != Integer.MAX_VALUE) {
      left[kind]--;
    }
  }
}
