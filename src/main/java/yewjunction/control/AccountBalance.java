package yewjunction.control;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What one store holds of a tenant that borrows ahead, for operators. Amounts in thousandths of a
 * message, shares in millionths. Encoded by position.
 */
public final class AccountBalance {
  /** Thousandths, and millionths of a share. */
  private static final double ONE = 1_000;

  private static final double WHOLE = 1_000_000;

  public String tenant = "";

  /**
   * The entry of the log that touched the account last: two stores that name the same one hold the
   * same account.
   */
  public long index;

  public long borrowMax;
  public long repayPpm;
  public long tokens;
  public long debt;
  public long borrowed;
  public long repaid;

  Map<String, Object> toRow() {
    final Map<String, Object> row = new LinkedHashMap<>();
    row.put("Tenant", tenant);
    row.put("Index", index);
    row.put("BorrowMax", borrowMax / ONE);
    row.put("RepayShare", repayPpm / WHOLE);
    row.put("Tokens", tokens / ONE);
    row.put("Debt", debt / ONE);
    row.put("Borrowed", borrowed / ONE);
    row.put("Repaid", repaid / ONE);
    return row;
  }
}
