/** The operator's configurations: like the example of the protocol page. */
final class Operator {
  private Operator() {}

  static String configuration(final long version, final int tenants, final String... prefixes) {
    final StringBuilder text = new StringBuilder("{\"Ver\":" + version + ",\"Routes\":[");
    for (int i = 0; i < prefixes.length; i++) {
      text.append(i == 0 ? "" : ",").append(route("r-" + i, prefixes[i]));
    }
    text.append(
        "],\"Svcs\":[],\"Lims\":{\"HdrBytes\":16384,\"BodyBytes\":262144,\"HdrMs\":3000,\"IdleMs\":15000,\"Subs\":200},\"Tenants\":[");
    for (int i = 0; i < tenants; i++) {
      text.append(i == 0 ? "" : ",").append(tenant("tenant" + i, "key" + i));
    }
    return text.append("]}").toString();
  }

  static String route(final String name, final String prefix) {
    return "{\"Name\":\"" + name + "\",\"Host\":\"\",\"Pfx\":\"" + prefix
        + "\",\"Type\":\"kept\",\"TimeoutMs\":1500,\"TargetMs\":150,\"Prio\":1,\"LingerS\":35.0,\"Fifo\":\"topic\",\"Public\":false}";
  }

  static String tenant(final String name, final String key) {
    return "{\"Name\":\"" + name + "\",\"Apikeys\":[\"" + key + "\"],\"Prio\":1,\"RatePerS\":38,\"Burst\":38}";
  }
}
