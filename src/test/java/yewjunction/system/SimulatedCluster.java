package yewjunction.system;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import yewjunction.control.OperatorApi;
import yewjunction.membership.MembershipList;
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

/**
 * A whole system on simulated machines: three zones with a control node, two edges and one or more
 * stores each.
 */
final class SimulatedCluster {
  static final int PORT = 7000;
  final SimulatedNetwork network;
  final Map<String, Node> nodes = new TreeMap<>();
  final List<SimulatedClient> clients = new ArrayList<>();
  private final Map<String, MembershipList> membershipLists = new HashMap<>();

  /** Where the control group is, as the operator's list has it for whoever starts now. */
  List<String> seeds = List.of("10.1.0.1:8024", "10.2.0.1:8024", "10.3.0.1:8024");

  private final boolean backgroundReads;
  private long lives = 1;

  /** Machines with a disk that may be lost at once. */
  final int losses;

  long version;

  SimulatedCluster(final long seed) {
    this(seed, 1, 1, false);
  }

  SimulatedCluster(final long seed, final int storesInZone) {
    this(seed, storesInZone, 1, false);
  }

  /**
   * Beside: orders are read beside the owner's thread and take a while, as on a real control node.
   */
  SimulatedCluster(final long seed, final boolean readsBeside) {
    this(seed, 1, 1, readsBeside);
  }

  /** Where two losses are to be borne there are two control nodes a zone. */
  SimulatedCluster(
      final long seed, final int storesInZone, final int losses, final boolean readsBeside) {
    this.losses = losses;
    this.backgroundReads = readsBeside;
    network = new SimulatedNetwork(seed);
    for (int zone = 1; zone <= 3; zone++) {
      boot("10." + zone + ".0.1:" + (PORT + Settings.CONTROL_PORT_OFFSET), true);
      boot("10." + zone + ".0.1:" + PORT, true);
      if (losses > 1) {
        boot("10." + zone + ".0.3:" + (PORT + Settings.CONTROL_PORT_OFFSET), true);
      }
      boot("10." + zone + ".0.2:" + PORT, true);
      for (int store = 0; store < storesInZone; store++) {
        boot("10." + zone + ".0." + (10 * store + 9) + ":" + PORT, true);
      }
    }
  }

  static String zone(final String address) {
    return "zone" + address.charAt(3);
  }

  private static NodeRole role(final String address) {
    return address.endsWith(":" + (PORT + Settings.CONTROL_PORT_OFFSET))
        ? NodeRole.CONTROL
        : address.contains("9:") ? NodeRole.STORE : NodeRole.EDGE;
  }

  List<String> all(final NodeRole role) {
    return nodes.keySet().stream().filter(address -> role(address) == role).toList();
  }

  /** The store that leads, or the first one while none does. */
  String leadingStore() {
    return all(NodeRole.STORE).stream()
        .filter(store -> network.host(store).up() && ((StoreNode) nodes.get(store)).isLeader())
        .findFirst()
        .orElse(all(NodeRole.STORE).get(0));
  }

  void boot(final String address, final boolean founding) {
    final SimulatedHost host = network.host(address);
    final long life = ++lives;
    final String ip = address.substring(0, address.indexOf(':'));
    final NodeRole role = role(address);
    final Settings settings =
        SettingsBuilder.settings("node-" + address, role.wireName(), ip)
            .zone(zone(address))
            .firstPort(PORT)
            .seeds(seeds)
            .bootstrap(founding)
            .toleratedLosses(losses)
            .build();
    final SimulatedNodes.Running running = SimulatedNodes.boot(host, settings, role, life);
    if (backgroundReads && running.node() instanceof ControlNode controlNode) {
      controlNode.operatorApi().setExecutor(host.executor());
    }
    nodes.put(address, running.node());
    membershipLists.put(address, running.membership());
  }

  void bootAll() {
    for (final String address : List.copyOf(nodes.keySet())) {
      if (!network.host(address).up()) {
        boot(address, false);
      }
    }
  }

  void kill(final String address) {
    network.host(address).kill();
    clients.forEach(client -> client.onEdgeGone(address));
  }

  void powerOff(final String address) {
    network.host(address).powerOff();
  }

  /** SIGTERM: the process ends when it says so. */
  void stop(final String address) {
    final SimulatedHost host = network.host(address);
    final int life = host.life();
    final Node node = nodes.get(address);
    final MembershipList membership = membershipLists.get(address);
    host.guarded(
        life,
        () ->
            node.stop(
                () -> {
                  membership.leave();
                  network.after(
                      20,
                      () -> {
                        if (host.up() && host.life() == life) {
                          kill(address);
                        }
                      });
                }));
  }

  EdgeNode edge(final String address) {
    return (EdgeNode) nodes.get(address);
  }

  List<String> readyEdges(final String zone) {
    final List<String> ready = new ArrayList<>();
    for (final String address : all(NodeRole.EDGE)) {
      if (network.host(address).up()
          && !network.host(address).frozen()
          && edge(address).ready()
          && (zone == null || zone.equals(zone(address)))) {
        ready.add(address);
      }
    }
    return ready;
  }

  /** A zone's machines, all or some, lose touch with all others. */
  void isolateZone(final String zone, final boolean withStores) {
    for (final String inside : nodes.keySet()) {
      if (zone(inside).equals(zone) && (withStores || role(inside) != NodeRole.STORE)) {
        nodes.keySet().stream()
            .filter(
                other -> !zone(other).equals(zone) || !withStores && role(other) == NodeRole.STORE)
            .forEach(other -> network.cut(inside, other));
      }
    }
  }

  // --- the operator ---

  void call(
      final String controlNode,
      final String method,
      final String path,
      final long base,
      final String body,
      final Consumer<OperatorApi.Response> responder) {
    call(
        controlNode,
        new OperatorApi.Request(
            method, path, String.valueOf(base), body.getBytes(StandardCharsets.UTF_8)),
        responder);
  }

  /** Hands a call to the real operator API of a control node, where its process is up. */
  void call(
      final String controlNode,
      final OperatorApi.Request request,
      final Consumer<OperatorApi.Response> responder) {
    final SimulatedHost host = network.host(controlNode);
    if (host.up()) {
      host.execute(
          () -> ((ControlNode) nodes.get(controlNode)).operatorApi().handle(request, responder));
    }
  }

  /** Keeps calling until one control node answers with that status. */
  OperatorApi.Response insist(
      final String method,
      final String path,
      final long base,
      final String body,
      final int status) {
    final OperatorApi.Response[] got = new OperatorApi.Response[1];
    for (int attempt = 0; attempt < 60 && got[0] == null; attempt++) {
      call(
          all(NodeRole.CONTROL).get(attempt % all(NodeRole.CONTROL).size()),
          method,
          path,
          base,
          body,
          response -> {
            if (response.status() == status) {
              got[0] = response;
            }
          });
      network.runUntil(() -> got[0] != null, 300);
    }
    if (got[0] == null) {
      throw new AssertionError(method + " " + path + " never answered " + status);
    }
    return got[0];
  }

  void configure(final String routes, final String tenants) {
    final long next = version + 1;
    insist("POST", "/-/config/replace", version, config(next, routes, tenants), 200);
    version = next;
  }

  static String config(final long version, final String routes, final String tenants) {
    return "{\"Ver\":"
        + version
        + ",\"Routes\":["
        + routes
        + "],\"Svcs\":[],\"Lims\":{\"Subs\":200},\"Tenants\":["
        + tenants
        + "]}";
  }

  static String route(final String prefix) {
    return route(prefix, 35);
  }

  /** A space that keeps messages for so many seconds. */
  static String route(final String prefix, final int lingerS) {
    return "{\"Name\":\"r-"
        + prefix
        + "\",\"Host\":\"\",\"Pfx\":\""
        + prefix
        + "\",\"Type\":\"kept\",\"TimeoutMs\":1500,\"LingerS\":"
        + lingerS
        + ".0,\"Fifo\":\"topic\",\"Public\":false}";
  }

  static String tenant(final String name, final String key, final int perSecond) {
    return "{\"Name\":\""
        + name
        + "\",\"Apikeys\":[\""
        + key
        + "\"],\"RatePerS\":"
        + perSecond
        + ",\"Burst\":"
        + perSecond
        + "}";
  }
}
