package yewjunction.raft;

import java.util.Arrays;
import java.util.stream.Collectors;

/** One choice of the scheduler in sixteen bits, and as text. A schedule is a string of them. */
final class ModelStep {
  static final int TIMER = 0;
  static final int DISK = 1;
  static final int DELIVER = 2;
  static final int REPLY = 3;
  static final int BREAK = 4;
  static final int CRASH = 5;
  static final int BOOT = 6;
  static final int WIPE = 7;
  static final int FREEZE = 8;
  static final int PROPOSE = 9;
  static final int CONFIRM = 10;
  static final int TRANSFER = 11;
  static final int DRAIN = 12;
  static final int LEAVE = 13;
  private static final String KIND_CODES = "tsdrxkbwfpch*l";

  private ModelStep() {}

  static char of(final int kind, final int member, final int other, final int which) {
    return (char) (kind << 12 | member << 8 | other << 4 | which);
  }

  static int kind(final char step) {
    return step >> 12;
  }

  static int member(final char step) {
    return step >> 8 & 15;
  }

  static int other(final char step) {
    return step >> 4 & 15;
  }

  static int which(final char step) {
    return step & 15;
  }

  private static boolean pair(final int kind) {
    return kind == DELIVER || kind == REPLY || kind == BREAK;
  }

  static String text(final char step) {
    final int kind = kind(step);
    return kind == DRAIN
        ? "*"
        : KIND_CODES.substring(kind, kind + 1)
            + member(step)
            + (pair(kind) ? ">" + other(step) : "")
            + (which(step) == 0 ? "" : "." + which(step));
  }

  static String text(final String schedule) {
    return schedule.chars().mapToObj(step -> text((char) step)).collect(Collectors.joining(" "));
  }

  private static char parsed(final String text) {
    final int kind = KIND_CODES.indexOf(text.charAt(0));
    if (kind < 0) {
      throw new IllegalArgumentException("step " + text);
    }
    if (kind == DRAIN) {
      return of(DRAIN, 0, 0, 0);
    }
    final int dot = text.indexOf('.');
    final String who = dot < 0 ? text.substring(1) : text.substring(1, dot);
    final String[] ends = who.split(">");
    return of(
        kind,
        Integer.parseInt(ends[0]),
        pair(kind) ? Integer.parseInt(ends[1]) : 0,
        dot < 0 ? 0 : Integer.parseInt(text.substring(dot + 1)));
  }

  static String parse(final String text) {
    final StringBuilder schedule = new StringBuilder();
    Arrays.stream(text.trim().split("\\s+"))
        .filter(one -> !one.isEmpty())
        .forEach(one -> schedule.append(parsed(one)));
    return schedule.toString();
  }
}
