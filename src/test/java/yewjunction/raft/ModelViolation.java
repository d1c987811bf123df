package yewjunction.raft;

/** An invariant that does not hold; the text begins with which. */
final class ModelViolation extends RuntimeException {
  private static final long serialVersionUID = 1;

  ModelViolation(final String text) {
    super(text, null, false, false);
  }
}
