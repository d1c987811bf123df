package yewjunction.control;

/**
 * The calls of the operator, each with its method and path. A {@code *} in a path stands for a
 * name.
 */
enum OperatorCall {
  SHOW_CONFIGURATION("GET", "/-/config/show"),
  REPLACE_CONFIGURATION("POST", "/-/config/replace"),
  UPDATE_CONFIGURATION("POST", "/-/config/update"),
  SHOW_STATUS("GET", "/-/outlook/show"),
  SHOW_ORDER_VIOLATIONS("GET", "/-/order/show"),
  SHOW_QUOTA("GET", "/-/quota/*/show"),
  BEGIN_RETIREMENT("POST", "/-/retire/*/begin"),
  SHOW_RETIREMENT("GET", "/-/retire/*/show");

  private static final String ANY_NAME = "*";

  /** The place of the name among the segments of a path that has one. */
  private static final int NAME_SEGMENT = 3;

  private final String method;
  private final String[] segments;

  OperatorCall(final String method, final String path) {
    this.method = method;
    segments = path.split("/");
  }

  /** The call with that path, null when there is none. */
  static OperatorCall of(final String path) {
    final String[] given = path.split("/", -1);
    for (final OperatorCall call : values()) {
      if (call.matches(given)) {
        return call;
      }
    }
    return null;
  }

  /** The name in a path of a call that has one. */
  static String nameIn(final String path) {
    return path.split("/", -1)[NAME_SEGMENT];
  }

  private boolean matches(final String[] given) {
    if (given.length != segments.length) {
      return false;
    }
    // What precedes the first slash is not part of the path.
    for (int place = 1; place < segments.length; place++) {
      if (!segments[place].equals(ANY_NAME) && !segments[place].equals(given[place])) {
        return false;
      }
    }
    return true;
  }

  String method() {
    return method;
  }

  boolean changesConfiguration() {
    return this == REPLACE_CONFIGURATION || this == UPDATE_CONFIGURATION;
  }
}
