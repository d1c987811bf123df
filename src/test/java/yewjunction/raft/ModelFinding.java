package yewjunction.raft;

/** A schedule that breaks an invariant, by itself or only afterwards, when all is healed. */
record ModelFinding(
    ModelSetup setup, ModelFault fault, String schedule, boolean afterwards, String violation) {
  @Override
  public String toString() {
    return violation + "\n  replay: " + setup.name() + " " + fault + " " + ModelStep.text(schedule);
  }

  /** What broke, without the particulars. */
  String invariant() {
    return violation.substring(0, violation.indexOf(':'));
  }

  /** Runs a schedule to its end, heals everything, and says what broke; null for nothing. */
  static ModelFinding replay(
      final ModelSetup setup, final ModelFault fault, final String schedule) {
    boolean afterwards = false;
    try {
      final ModelWorld world = new ModelWorld(setup, fault).run(schedule);
      afterwards = true;
      world.goesOn();
      return null;
    } catch (final ModelViolation violation) {
      return new ModelFinding(setup, fault, schedule, afterwards, violation.getMessage());
    }
  }

  /**
   * The same with steps left out that are not possible where they stand; the finding has the
   * others.
   */
  private ModelFinding attempt(final String candidate) {
    final StringBuilder done = new StringBuilder();
    try {
      final ModelWorld world = new ModelWorld(setup, fault);
      world.budget = ModelBudget.plenty();
      for (int at = 0; at < candidate.length(); at++) {
        if (world.enabled().indexOf(candidate.charAt(at)) >= 0) {
          done.append(candidate.charAt(at));
          world.apply(candidate.charAt(at));
        }
      }
      if (afterwards) {
        world.goesOn();
      }
      return null;
    } catch (final ModelViolation broken) {
      final ModelFinding found =
          new ModelFinding(setup, fault, done.toString(), afterwards, broken.getMessage());
      return found.invariant().equals(invariant()) ? found : null;
    }
  }

  /**
   * Leaves out pieces, large ones first, as long as the same invariant breaks, until nothing more
   * can go.
   */
  ModelFinding shrunk() {
    ModelFinding best = this;
    for (int before = Integer.MAX_VALUE; best.schedule.length() < before; ) {
      before = best.schedule.length();
      for (int piece = Math.max(1, before / 2); piece >= 1; piece /= 2) {
        best = best.without(piece);
      }
    }
    return best;
  }

  private ModelFinding without(final int piece) {
    ModelFinding best = this;
    int at = 0;
    while (at + piece <= best.schedule.length()) {
      final ModelFinding shorter =
          attempt(best.schedule.substring(0, at) + best.schedule.substring(at + piece));
      if (shorter != null && shorter.schedule.length() < best.schedule.length()) {
        best = shorter;
      } else {
        at += piece;
      }
    }
    return best;
  }
}
