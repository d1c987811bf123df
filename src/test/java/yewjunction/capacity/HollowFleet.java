package yewjunction.capacity;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import yewjunction.control.OperatorApi;
import yewjunction.membership.NodeRole;
import yewjunction.node.ControlNode;
import yewjunction.node.EdgeNode;
import yewjunction.node.Node;
import yewjunction.node.StoreNode;
import yewjunction.settings.Settings;
import yewjunction.settings.SettingsBuilder;
import yewjunction.simulation.SimulatedHost;
import yewjunction.simulation.SimulatedNetwork;
import yewjunction.simulation.SimulatedNodes;
import yewjunction.simulation.TrafficMeter;

/**
 * Hollow machines: the real code of all duties on a simulated network, all in this process, without
 * clients of their own.
 */
final class HollowFleet {
  private static final int PORT = 7000;
  private static final int ZONES = 5;
  final SimulatedNetwork network;
  final TrafficMeter meter = new TrafficMeter();
  final List<String> edges = new ArrayList<>();
  final List<String> stores = new ArrayList<>();
  final List<String> controlNodes = new ArrayList<>();
  private final Map<String, Node> nodes = new TreeMap<>();
  private final List<String> seeds = new ArrayList<>();
  private final int lossesBorne;
  private long lives;
  private long version;

  HollowFleet(
      final long seed, final int edgeCount, final int storeCount, final int controlNodeCount) {
    network = new SimulatedNetwork(seed);
    network.meter = meter;
    lossesBorne = controlNodeCount >= 5 && storeCount >= 5 ? 2 : 1;
    for (int i = 0; i < controlNodeCount; i++) {
      controlNodes.add(
          "10." + zone(i) + ".1." + (1 + i / ZONES) + ":" + (PORT + Settings.CONTROL_PORT_OFFSET));
    }
    for (int i = 0; i < 3; i++) {
      seeds.add(controlNodes.get(i).replace(":" + (PORT + Settings.CONTROL_PORT_OFFSET), ":8024"));
    }
    for (int i = 0; i < storeCount; i++) {
      stores.add("10." + zone(i) + ".2." + (1 + i / ZONES) + ":" + PORT);
    }
    for (int i = 0; i < edgeCount; i++) {
      edges.add(
          "10." + zone(i) + "." + (3 + i / ZONES / 250) + "." + (1 + i / ZONES % 250) + ":" + PORT);
    }
    controlNodes.forEach(address -> boot(address, NodeRole.CONTROL, true));
    stores.forEach(address -> boot(address, NodeRole.STORE, true));
    edges.forEach(address -> boot(address, NodeRole.EDGE, true));
  }

  private static int zone(final int place) {
    return 1 + place % ZONES;
  }

  void boot(final String address, final NodeRole role, final boolean founding) {
    final SimulatedHost host = network.host(address);
    final String ip = address.substring(0, address.indexOf(':'));
    final Settings settings =
        SettingsBuilder.settings("n-" + ip, role.wireName(), ip)
            .zone("zone" + ip.charAt(3))
            .firstPort(PORT)
            .seeds(seeds)
            .bootstrap(founding)
            .toleratedLosses(lossesBorne)
            .diskMb(260)
            .build();
    nodes.put(address, SimulatedNodes.boot(host, settings, role, ++lives).node());
  }

  EdgeNode edge(final String address) {
    return (EdgeNode) nodes.get(address);
  }

  /** How many edges may be sent clients. */
  long ready() {
    return edges.stream()
        .filter(address -> network.host(address).up() && edge(address).ready())
        .count();
  }

  String leadingStore() {
    return stores.stream()
        .filter(address -> ((StoreNode) nodes.get(address)).isLeader())
        .findFirst()
        .orElse("");
  }

  /**
   * A configuration of so many tenants and routes; true once it is acknowledged, within some
   * simulated seconds.
   */
  boolean configure(final int tenants, final int routes) {
    final long next = version + 1;
    final StringBuilder json = new StringBuilder("{\"Ver\":" + next + ",\"Routes\":[");
    for (int i = 0; i < routes; i++) {
      json.append(i == 0 ? "" : ",")
          .append("{\"Name\":\"r-")
          .append(i)
          .append("\",\"Host\":\"\",\"Pfx\":\"s")
          .append(i)
          .append(
              ".\",\"Type\":\"kept\",\"TimeoutMs\":1500,\"TargetMs\":120,\"Prio\":1,\"LingerS\":35.0,\"Fifo\":\"topic\",\"Public\":false}");
    }
    json.append("],\"Svcs\":[],\"Lims\":{\"Subs\":200},\"Tenants\":[");
    for (int i = 0; i < tenants; i++) {
      json.append(i == 0 ? "" : ",")
          .append("{\"Name\":\"tenant")
          .append(i)
          .append("\",\"Apikeys\":[\"key")
          .append(i)
          .append("\",\"an-older-key-of-tenant")
          .append(i)
          .append("\"],\"Prio\":1,\"RatePerS\":100000,\"Burst\":100000}");
    }
    json.append("]}");
    final boolean[] taken = new boolean[1];
    for (int attempt = 0; attempt < 60 && !taken[0]; attempt++) {
      final String controlNode = controlNodes.get(attempt % controlNodes.size());
      final byte[] body = json.toString().getBytes(StandardCharsets.UTF_8);
      network
          .host(controlNode)
          .execute(
              () ->
                  ((ControlNode) nodes.get(controlNode))
                      .operatorApi()
                      .handle(
                          new OperatorApi.Request(
                              "POST", "/-/config/replace", String.valueOf(version), body),
                          response -> taken[0] |= response.status() == 200));
      network.runUntil(() -> taken[0], 300);
    }
    version = taken[0] ? next : version;
    return taken[0];
  }
}
