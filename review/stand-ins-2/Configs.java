/** Configurations like those of a small deployment. */
final class Configs {
  private Configs() {}

  /** Two kept spaces, kafi810. and kalo181., and tenants t0, t1, ... with the keys k0, k1, ... */
  static String config(final long version, final int tenants, final int rate, final int burst) {
    final StringBuilder text = new StringBuilder();
    text.append("{\"Ver\":").append(version).append(",\"Routes\":[");
    text.append(route("r-s47qdqi", "kafi810.", 1500, 150, 1, 35)).append(",");
    text.append(route("r-qrh4jcd", "kalo181.", 1200, 100, 2, 25)).append("],\"Svcs\":[],");
    text.append("\"Lims\":{\"HdrBytes\":16384,\"BodyBytes\":262144,\"HdrMs\":3000,");
    text.append("\"IdleMs\":15000,\"Subs\":200},\"Tenants\":[");
    for (int tenant = 0; tenant < tenants; tenant++) {
      text.append(tenant == 0 ? "" : ",").append("{\"Name\":\"t").append(tenant);
      text.append("\",\"Apikeys\":[\"k").append(tenant).append("\"],\"Prio\":1,\"RatePerS\":");
      text.append(rate).append(",\"Burst\":").append(burst).append("}");
    }
    return text.append("]}").toString();
  }

  /** A version with these routes beside kalo181. and with eight tenants. */
  static String spaces(final long version, final String... routes) {
    final String whole = config(version, 8, 38, 38);
    final int first = whole.indexOf("{\"Name\":\"r-s47qdqi\"");
    final int second = whole.indexOf("{\"Name\":\"r-qrh4jcd\"");
    final StringBuilder text = new StringBuilder(whole.substring(0, first));
    for (final String route : routes) {
      text.append(route).append(",");
    }
    return text.append(whole.substring(second)).toString();
  }

  static String route(final String name, final String prefix, final int lingerS) {
    return route(name, prefix, 1500, 150, 1, lingerS);
  }

  private static String route(
      final String name,
      final String prefix,
      final int timeoutMs,
      final int targetMs,
      final int prio,
      final int lingerS) {
    return "{\"Name\":\"%s\",\"Host\":\"\",\"Pfx\":\"%s\",\"Type\":\"kept\",\"TimeoutMs\":%d,"
            .formatted(name, prefix, timeoutMs)
        + "\"TargetMs\":%d,\"Prio\":%d,\"LingerS\":%d.0,\"Fifo\":\"topic\",\"Public\":false}"
            .formatted(targetMs, prio, lingerS);
  }
}
