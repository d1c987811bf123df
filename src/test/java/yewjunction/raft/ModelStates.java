package yewjunction.raft;

/** The digests of all states met so far, in stripes that several threads may add to. */
final class ModelStates {
  private static final int STRIPES = 64;
  private final Stripe[] stripes = new Stripe[STRIPES];

  ModelStates() {
    for (int i = 0; i < STRIPES; i++) {
      stripes[i] = new Stripe();
    }
  }

  /** Open addressing; 0 digests a free place. */
  private static final class Stripe {
    private long[] table = new long[1 << 10];
    private int size;

    synchronized boolean add(final long digest) {
      if (size * 2 > table.length) {
        final long[] old = table;
        table = new long[old.length * 2];
        for (final long one : old) {
          if (one != 0) {
            table[place(one)] = one;
          }
        }
      }
      final int place = place(digest);
      if (table[place] == digest) {
        return false;
      }
      table[place] = digest;
      size++;
      return true;
    }

    private int place(final long digest) {
      int place = (int) (digest >>> 8) & table.length - 1;
      while (table[place] != 0 && table[place] != digest) {
        place = place + 1 & table.length - 1;
      }
      return place;
    }

    synchronized int size() {
      return size;
    }
  }

  /** True when it is new. */
  boolean add(final long digest) {
    final long marked = digest == 0 ? 1 : digest;
    return stripes[(int) (marked >>> 58)].add(marked);
  }

  long size() {
    long sum = 0;
    for (final Stripe stripe : stripes) {
      sum += stripe.size();
    }
    return sum;
  }
}
