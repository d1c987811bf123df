package yewjunction.store;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.protostuff.ProtostuffIOUtil;
import io.protostuff.Schema;
import io.protostuff.runtime.RuntimeSchema;
import java.math.BigInteger;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import yewjunction.control.AccountBalance;

/**
 * An independent reckoning of all accounts from the committed history alone: millisecond by
 * millisecond, in exact fractions, with none of the system's own arithmetic.
 */
public final class ReferenceAccounts {
  private static final Schema<StoredMessage> MESSAGES =
      RuntimeSchema.getSchema(StoredMessage.class);

  /**
   * A thousandth of a message, in the finest grain there is: a thousandth of it grows at a time, a
   * millionth is shared.
   */
  private static final BigInteger GRAIN = BigInteger.valueOf(1_000L * 1_000_000L);

  private final Map<String, Known> known = new TreeMap<>();

  /** What each account was after each entry that touched it. */
  private final Map<String, String> states = new HashMap<>();

  private long version;
  public long mostDebt;
  public int charges;
  public final Map<String, Integer> timesBorrowed = new TreeMap<>();

  private static final class Known {
    BorrowingTerms terms;
    BigInteger grown = BigInteger.ZERO;
    BigInteger shared = BigInteger.ZERO;
    long tokens;
    long debt;
    long borrowed;
    long repaid;
    long atMs;

    void pass(final long toMs) {
      for (; atMs < toMs; atMs++) {
        // A second's rate in thousandths is a millisecond's in millionths.
        grown =
            grown.add(
                BigInteger.valueOf(terms.ratePerSecond).multiply(BigInteger.valueOf(1_000_000)));
        final BigInteger[] whole = grown.divideAndRemainder(GRAIN);
        grown = whole[1];
        for (long one = whole[0].longValueExact(); one > 0; one--) {
          thousandth();
        }
      }
    }

    /**
     * One thousandth more: its share goes to the debt once a whole thousandth of debt has come
     * together.
     */
    private void thousandth() {
      boolean paid = false;
      if (debt > 0) {
        shared = shared.add(BigInteger.valueOf(terms.repayPpm).multiply(BigInteger.valueOf(1_000)));
        if (shared.compareTo(GRAIN) >= 0) {
          shared = shared.subtract(GRAIN);
          debt--;
          repaid++;
          paid = true;
          if (debt == 0) {
            shared = BigInteger.ZERO;
          }
        }
      }
      if (!paid && tokens < terms.bucketDepth) {
        tokens++;
      }
    }
  }

  /** Takes the entries in the log's order. */
  public void replay(final Map<Long, byte[]> entries) {
    new TreeMap<>(entries)
        .forEach(
            (index, data) -> {
              final StoredMessage message = MESSAGES.newMessage();
              ProtostuffIOUtil.mergeFrom(data, message, MESSAGES);
              if (message.termsChange != null) {
                known.values().forEach(one -> one.pass(message.logTimeMs));
                if (message.termsChange.version > 0 && message.termsChange.version >= version) {
                  version = message.termsChange.version;
                  agree(message);
                }
                known.keySet().forEach(tenant -> note(tenant, index));
              } else if (message.logTimeMs != null) {
                charge(message);
                note(message.tenant, index);
              }
            });
  }

  private void agree(final StoredMessage message) {
    for (final BorrowingTerms terms : message.termsChange.terms) {
      final Known one =
          known.computeIfAbsent(
              terms.tenant,
              key -> {
                final Known fresh = new Known();
                fresh.tokens = terms.firstTokens;
                fresh.atMs = message.logTimeMs;
                return fresh;
              });
      one.terms = terms;
      one.tokens = Math.min(one.tokens, terms.bucketDepth);
    }
    known
        .entrySet()
        .removeIf(
            one ->
                one.getValue().debt == 0
                    && message.termsChange.terms.stream()
                        .noneMatch(terms -> terms.tenant.equals(one.getKey())));
  }

  private void charge(final StoredMessage message) {
    final Known one = known.get(message.tenant);
    one.pass(message.logTimeMs);
    charges++;
    if (one.tokens >= 1_000) {
      one.tokens -= 1_000;
    } else {
      one.debt += 1_000;
      one.borrowed += 1_000;
      timesBorrowed.merge(message.tenant, 1, Integer::sum);
      mostDebt = Math.max(mostDebt, one.debt);
      assertTrue(
          one.debt <= one.terms.borrowMax,
          message.tenant + " owes " + one.debt + " of " + one.terms.borrowMax);
    }
  }

  private void note(final String tenant, final long index) {
    final Known one = known.get(tenant);
    states.put(
        tenant + " " + index, one.tokens + " " + one.debt + " " + one.borrowed + " " + one.repaid);
  }

  /**
   * What the account must be after that entry, as tokens, debt, borrowed and repaid; null when the
   * entry did not touch it.
   */
  public String at(final String tenant, final long index) {
    return states.get(tenant + " " + index);
  }

  public static String describe(final AccountBalance balance) {
    return balance.tokens + " " + balance.debt + " " + balance.borrowed + " " + balance.repaid;
  }
}
