package yewjunction.common;

import org.tinylog.Logger;

/**
 * Numbered log events. docs/events.md lists them with what to do about each. A number never changes
 * and is never given again; alarms are set on numbers.
 */
public enum LogEvent {
  STARTED(100),
  STOPPING(101),
  STOPPED(102),
  SETTINGS_RELOADED(103),
  SETTINGS_INVALID(104),
  UNEXPECTED_ERROR(105),
  CALENDAR_INVALID(106),
  CONNECTION_LOST(200),
  CONNECTION_GARBLED(201),
  CONNECTION_SLOW(203),
  MEMBER_JOINED(300),
  MEMBER_SUSPECTED(301),
  MEMBER_REMOVED(302),
  LEADERSHIP_GAINED(400),
  LEADERSHIP_LOST(401),
  LOG_OPENED(403),
  LOG_TAIL_TRUNCATED(404),
  LOG_DAMAGED(405),
  LOG_COMPACTED(406),
  VOTERS_CHANGED(407),
  LEADERSHIP_TRANSFERRED(409),
  DISK_FAILED(410),
  DISK_FULL(411),
  DISK_RECOVERED(412),
  CONFIGURATION_ACCEPTED(500),
  CONFIGURATION_REJECTED(501),
  CONFIGURATION_APPLIED(502),
  LEASE_EXPIRED(503),
  LEASE_GRANTED(504),
  REPLICA_ID_ASSIGNED(505),
  REPLICA_ID_RETIRED(506),
  FIRST_STORES_CHOSEN(507),
  NODE_RETIRING(508),
  NODE_RETIRED(509),
  PATCH_MISMATCH(510),
  REPLICA_ID_LOST(511),
  STORE_ATTACHED(600),
  STORE_DETACHED(601),
  STREAM_GAP(602),
  EDGE_ATTACHED(603),
  EDGE_DETACHED(604),
  REPLAY_EXPIRED(605),
  BORROWING_STARTED(700),
  BORROWING_LIMIT_REACHED(701),
  DEBT_REPAID(702),
  CLIENT_PROTOCOL_ERROR(800),
  CLIENT_SLOW(801),
  DRAIN_STARTED(802),
  DRAIN_FINISHED(803),
  LEADER_UNREACHABLE(806),
  LEADER_REACHABLE(807),
  READY(804),
  NOT_READY(805),
  ORDER_VIOLATION(808),
  CURSOR_EXPIRED(809);

  private final int number;

  LogEvent(final int number) {
    this.number = number;
  }

  /** The number by which operators know the event. */
  public int number() {
    return number;
  }

  /** Logs the event as a part of ordinary operation. */
  public void info(final String text) {
    Logger.info("E{} {} {}", number, name(), text);
  }

  /** Logs the event as one that needs attention. */
  public void warn(final String text) {
    Logger.warn("E{} {} {}", number, name(), text);
  }

  /** Logs the event as one that needs attention, with the failure behind it. */
  public void warn(final String text, final Throwable cause) {
    Logger.warn(cause, "E{} {} {}", number, name(), text);
  }
}
