package yewjunction.common;

import org.tinylog.Logger;

/** Numbered log events; the catalogue with what to do about each is docs/events.md. */
public enum LogEvent {
  STARTED(100),
  STOPPING(101),
  STOPPED(102),
  SETTINGS_REREAD(103),
  SETTINGS_BAD(104),
  TURN_DEFECT(105),
  CALENDAR_BAD(106),
  LINK_LOST(200),
  LINK_GARBLED(201),
  LINK_SLOW(203),
  SIBLING_JOINED(300),
  SIBLING_SUSPECT(301),
  SIBLING_GONE(302),
  LEADER_WON(400),
  LEADER_LOST(401),
  LEDGER_OPENED(403),
  TAIL_CUT(404),
  LEDGER_DAMAGED(405),
  LEDGER_REWRITTEN(406),
  VOTERS_CHANGED(407),
  LEADER_HANDED(409),
  DISK_FAILED(410),
  DISK_FULL(411),
  DISK_TAKES(412),
  CONFIG_TAKEN(500),
  CONFIG_DENIED(501),
  CONFIG_APPLIED(502),
  LEASE_LAPSED(503),
  LEASE_HELD(504),
  REPLICA_GIVEN(505),
  REPLICA_RETIRED(506),
  VAULTS_CHOSEN(507),
  MACHINE_RETIRING(508),
  MACHINE_RETIRED(509),
  PATCH_BAD(510),
  REPLICA_LOST(511),
  HOME_ATTACHED(600),
  HOME_LOST(601),
  STREAM_GAP(602),
  EDGE_ATTACHED(603),
  EDGE_LOST(604),
  BORROWING_BEGAN(700),
  BORROW_LIMIT(701),
  DEBT_REPAID(702),
  CLIENT_GARBLED(800),
  CLIENT_SLOW(801),
  DRAIN_STARTED(802),
  DRAIN_DONE(803),
  SITE_DARK(806),
  SITE_BACK(807),
  READY(804),
  NOT_READY(805),
  ORDER_BROKEN(808),
  ORDER_GAP(809);

  private final int number;

  LogEvent(final int number) {
    this.number = number;
  }

  public int number() {
    return number;
  }

  public void info(final String text) {
    Logger.info("E{} {} {}", number, name(), text);
  }

  public void warn(final String text) {
    Logger.warn("E{} {} {}", number, name(), text);
  }

  public void warn(final String text, final Throwable cause) {
    Logger.warn(cause, "E{} {} {}", number, name(), text);
  }
}
