package yewjunction.server;

import static yewjunction.limits.OperatorLimits.SETTINGS_CHECK_INTERVAL_MS;

import java.nio.file.Path;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.function.IntConsumer;
import org.agrona.concurrent.AgentRunner;
import org.agrona.concurrent.NoOpIdleStrategy;
import yewjunction.common.ExitCode;
import yewjunction.common.LogEvent;
import yewjunction.common.MessageCodec;
import yewjunction.common.YewjunctionException;
import yewjunction.maintenance.MaintenanceWindows;
import yewjunction.membership.Member;
import yewjunction.membership.MembershipList;
import yewjunction.membership.NodeRole;
import yewjunction.node.ControlNode;
import yewjunction.node.EdgeNode;
import yewjunction.node.Node;
import yewjunction.node.StoreNode;
import yewjunction.raft.Disk;
import yewjunction.raft.InMemoryDisk;
import yewjunction.raft.LocalDisk;
import yewjunction.settings.Settings;
import yewjunction.transport.EventLoopAgent;
import yewjunction.transport.SocketAddresses;
import yewjunction.transport.TcpClientConnection;
import yewjunction.transport.TcpPeerTransport;
import yewjunction.transport.UdpTransport;

/**
 * One server process: the agent, the transports, the membership list, the node for its role,
 * signals, and the settings file.
 *
 * <p>Threads: {@link #run} blocks its caller; all else happens on the agent's thread, which ends
 * with the JVM.
 */
public final class ServerProcess {
  private final Settings settings;
  private final EventLoopAgent agent;
  private final MembershipList membership;
  private final Node node;
  private final SettingsReloader file;
  private final CountDownLatch ended = new CountDownLatch(1);
  private SignalHandlers signals = new SignalHandlers();
  private String calendar;
  private boolean stopping;

  /** Written by the agent before {@code ended} counts down, and read after that. */
  private RuntimeException startFailure;

  /**
   * Binds the ports for other nodes and opens the data folder.
   *
   * @throws java.io.UncheckedIOException when an address cannot be bound
   * @throws yewjunction.raft.StorageException when a file is damaged or cannot be read
   */
  public ServerProcess(final SettingsReloader file, final Settings settings, final NodeRole role) {
    this.file = file;
    this.settings = settings;
    final String address =
        settings.address(
            role == NodeRole.CONTROL ? Settings.CONTROL_PORT_OFFSET : Settings.DATA_PORT_OFFSET);
    // Drawn at each start: tells two lives at one address apart.
    final long life = new java.security.SecureRandom().nextLong() >>> 1;
    agent = new EventLoopAgent(life ^ System.nanoTime());
    final MessageCodec codec = new MessageCodec();
    yewjunction.raft.RaftMessages.register(codec);
    yewjunction.membership.MembershipMessages.register(codec);
    yewjunction.control.LeaseMessages.register(codec);
    yewjunction.store.AdmissionMessages.register(codec);
    yewjunction.fanout.FanoutMessages.register(codec);
    final TcpPeerTransport transport =
        new TcpPeerTransport(agent, codec, SocketAddresses.parse(address));
    final Member self = new Member();
    self.address = address;
    self.node = settings.node();
    self.zone = settings.zone();
    self.role = role.wireName();
    self.clientAddress = settings.clientAddress();
    self.life = life;
    self.setIncarnation(System.currentTimeMillis());
    final UdpTransport datagrams = new UdpTransport(agent, codec, SocketAddresses.parse(address));
    membership = new MembershipList(agent, self, datagrams::send);
    datagrams.onMessage(membership::onMessage);
    node =
        switch (role) {
          case CONTROL ->
              new ControlNode(agent, transport, disk(), executor(), membership, settings, life);
          case STORE ->
              new StoreNode(agent, transport, disk(), executor(), membership, settings, life);
          case EDGE -> new EdgeNode(agent, transport, membership, settings, life);
        };
  }

  private BlockingTaskExecutor executor() {
    return new BlockingTaskExecutor(agent, Runtime.getRuntime()::halt);
  }

  /** Takes the signals of the JVM; for a process that has the JVM to itself. */
  public ServerProcess withSignals(final SignalHandlers chosenSignals) {
    signals = chosenSignals;
    return this;
  }

  /** Names planned work in events, from calendar files that are read again with the settings. */
  public ServerProcess withCalendar(final String chosenCalendar) {
    calendar = chosenCalendar;
    readCalendar();
    return this;
  }

  private void readCalendar() {
    if (calendar != null) {
      final MaintenanceWindows windows = MaintenanceWindows.read(Path.of(calendar));
      windows.unreadable().forEach(LogEvent.CALENDAR_INVALID::warn);
      membership.setPlannedWork(
          member -> windows.plannedWorkFor(Instant.now(), List.of(member.node, member.zone)));
    }
  }

  private Disk disk() {
    return settings.dataFolder().isEmpty()
        ? new InMemoryDisk()
        : new LocalDisk(Path.of(settings.dataFolder()));
  }

  /** Opens the addresses for clients or operators that this role has. */
  private void listen() {
    if (node instanceof ControlNode controlNode) {
      controlNode.operatorApi().setExecutor(HttpEndpoint.reader(agent));
      HttpEndpoint.operator(settings.operatorAddress(), agent, controlNode.operatorApi()::handle);
    } else if (node instanceof EdgeNode edge) {
      TcpClientConnection.listen(
          agent, SocketAddresses.parse(settings.clientAddress()), edge::newHandler);
      HttpEndpoint.readiness(settings.readinessAddress(), edge::ready);
    }
  }

  /** Runs until a signal stops it. Returns the exit code. */
  public int run() {
    final AgentRunner runner =
        new AgentRunner(
            NoOpIdleStrategy.INSTANCE,
            failure -> onAgentError(failure, Runtime.getRuntime()::halt),
            null,
            agent);
    agent.execute(this::start);
    // Behind the start, so that a signal which came early finds a process that has started.
    signals.setReceiver(
        kind -> agent.execute(kind == SignalHandlers.Kind.STOP ? this::stopOnce : this::onHangUp));
    agent.scheduleAtFixedRate(
        SETTINGS_CHECK_INTERVAL_MS,
        () -> {
          if (file.shouldReload()) {
            reloadSettings();
          }
        });
    AgentRunner.startOnThread(runner);
    try {
      ended.await();
    } catch (final InterruptedException failure) {
      Thread.currentThread().interrupt();
    }
    if (startFailure != null) {
      throw startFailure;
    }
    return ExitCode.OK;
  }

  private void start() {
    try {
      membership.start(settings.controlNodeAddresses());
      node.start();
      listen();
      LogEvent.STARTED.info(settings.node() + " " + settings.role());
    } catch (final RuntimeException failure) {
      // A process that cannot listen serves nobody: it ends and says why.
      stopping = true;
      startFailure = failure;
      ended.countDown();
    }
  }

  /**
   * Takes what a turn of the agent could not contain. After an {@link Error} state may be half
   * changed, and only the disk says what was promised.
   */
  static void onAgentError(final Throwable failure, final IntConsumer exit) {
    try {
      LogEvent.UNEXPECTED_ERROR.warn("agent", failure);
    } finally {
      if (failure instanceof Error) {
        exit.accept(ExitCode.UNEXPECTED_ERROR);
      }
    }
  }

  private void stopOnce() {
    if (!stopping) {
      stopping = true;
      LogEvent.STOPPING.info(settings.node() + " " + settings.role());
      try {
        node.stop(this::end);
      } catch (final RuntimeException failure) {
        // What cannot be handed over in order ends as by a kill, at once.
        LogEvent.UNEXPECTED_ERROR.warn("stop", failure);
        end();
      }
    }
  }

  private void end() {
    // One more turn, so that what is written in this one goes out; scheduled first, so that the
    // process ends whatever fails here.
    agent.schedule(20, ended::countDown);
    membership.leave();
    LogEvent.STOPPED.info(settings.node() + " " + settings.role());
  }

  private void onHangUp() {
    file.forceNextCheck();
    reloadSettings();
  }

  private void reloadSettings() {
    try {
      final Settings fresh = file.load();
      membership.setSeeds(fresh.controlNodeAddresses());
      node.onSettingsChanged(fresh);
      readCalendar();
      LogEvent.SETTINGS_RELOADED.info(file.toString());
    } catch (final YewjunctionException failure) {
      // The settings in force stay: a bad file must not stop a node that works.
      LogEvent.SETTINGS_INVALID.warn(failure.code() + " " + failure.getMessage());
    }
  }
}
