package yewjunction.raft;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.TreeMap;
import yewjunction.common.AgentContext;

/** One member's machine: a clock of its own, timers, a disk, and the log that runs here. */
final class ModelHost implements AgentContext {
  /**
   * ms; how late a frozen process finds its timers: beyond every time-out but that for forgetting a
   * member.
   */
  private static final long FROZEN_MS = 2_600;

  private static final Random LEAST = new ConstantRandom();
  private static final Comparator<Timer> ORDER =
      Comparator.comparingLong(Timer::atMs).thenComparingLong(Timer::order);
  final ModelWorld world;
  final int number;
  final String address;
  ModelDisk disk;
  RaftNode raftNode;
  ModelTransport transport;
  RecordingStateMachine recording;

  /** How often this machine has had an empty disk. */
  int wipes;

  private int identitiesDrawn;
  boolean leaving;
  long nowMs = 1_000_000;
  final List<Timer> timers = new ArrayList<>();
  final ArrayDeque<DiskTask> diskTasks = new ArrayDeque<>();
  private final ArrayDeque<Runnable> commands = new ArrayDeque<>();
  private long order;

  /** A task that is due at a moment of the member's own clock. */
  record Timer(long atMs, long order, Runnable task) {}

  /** Blocking work, and what follows it. */
  record DiskTask(Runnable blocking, Runnable continuation) {}

  /**
   * Always the least: how timers of different members follow one another is the scheduler's choice
   * anyway.
   */
  private static final class ConstantRandom extends Random {
    @Override
    public int nextInt(final int bound) {
      return 0;
    }
  }

  /** A machine that only remembers. */
  static final class RecordingStateMachine implements StateMachine {
    final TreeMap<Long, Long> applied = new TreeMap<>();
    long restoredTo;

    @Override
    public void apply(final long index, final byte[] data) {
      applied.put(index, ByteBuffer.wrap(data).getLong());
    }

    @Override
    public byte[] snapshot() {
      final ByteBuffer bytes = ByteBuffer.allocate(16 * applied.size());
      applied.forEach((index, value) -> bytes.putLong(index).putLong(value));
      return bytes.array();
    }

    @Override
    public void restore(final long index, final byte[] state) {
      applied.clear();
      final ByteBuffer bytes = ByteBuffer.wrap(state);
      while (bytes.hasRemaining()) {
        applied.put(bytes.getLong(), bytes.getLong());
      }
      restoredTo = index;
    }
  }

  ModelHost(final ModelWorld world, final int number, final String address) {
    this.world = world;
    this.number = number;
    this.address = address;
    disk = new ModelDisk(world.fault == ModelFault.SYNC_SKIPPED);
  }

  boolean up() {
    return raftNode != null;
  }

  void boot(final boolean founder) {
    if (world.fault == ModelFault.VOTE_FORGOTTEN && disk.read("") != null) {
      forgetVotes();
    }
    transport = new ModelTransport(this);
    recording = new RecordingStateMachine();
    raftNode = new RaftNode(7, this, transport, disk, this::runOnDisk, "log", recording);
    raftNode.registerHandlers();
    raftNode
        .reconfiguration()
        .setPlacement(
            new VoterPlacement(world.setup.targetVoters(), java.util.Set::of, world.setup::zoneOf));
    if (raftNode.identity() == null) {
      final boolean oldName =
          founder || world.fault == ModelFault.OLD_NAME_AFTER_WIPE && number < world.setup.voters();
      raftNode.assignIdentity(address + "#" + (oldName ? "f" : "d" + identitiesDrawn++));
      if (founder) {
        raftNode.bootstrap(world.setup.founders());
      }
    }
    raftNode.start();
    raftNode.groupMembership().start(this::peers, () -> true);
    leaving = false;
    runCommands();
  }

  private List<String> peers() {
    return world.hosts.stream().filter(other -> other != this).map(other -> other.address).toList();
  }

  /**
   * Asked to stop: the process ends when the scheduler says so, whether its vote has passed by then
   * or not.
   */
  void leave() {
    leaving = true;
    raftNode.groupMembership().leaveGroup(() -> {});
    runCommands();
  }

  private void forgetVotes() {
    final ByteArrayOutputStream kept = new ByteArrayOutputStream();
    for (final LogRecord.Content piece : LogRecord.scan(disk.read("")).records()) {
      // Kind 2 is a vote: the term stays, as it would in a file that was written without the name.
      final byte[] body =
          piece.kind() == 2 ? java.util.Arrays.copyOf(piece.body(), 8) : piece.body();
      kept.writeBytes(LogRecord.encode(piece.kind(), body, 0));
    }
    disk.replace("", kept.toByteArray());
  }

  private void runOnDisk(final Runnable blocking, final Runnable continuation) {
    diskTasks.add(new DiskTask(blocking, continuation));
    if (world.fault == ModelFault.ANSWERED_BEFORE_SYNC) {
      diskTasks.removeLast();
      diskTasks.add(new DiskTask(blocking, () -> {}));
      commands.add(continuation);
    }
  }

  /** The disk does its oldest work, and the owner hears of it. */
  void diskWorks() {
    final DiskTask task = diskTasks.poll();
    task.blocking().run();
    task.continuation().run();
    runCommands();
  }

  /** The process ends; the disk may have done the work under way, in part or not at all. */
  void stop(final int fate) {
    if (!diskTasks.isEmpty() && fate != ModelDisk.LOST) {
      beginDiskTask(diskTasks.peek(), fate, disk.durable());
    } else {
      disk.stopped(fate);
    }
    raftNode.stop();
    raftNode = null;
    transport.onProcessEnded();
    timers.clear();
    diskTasks.clear();
    commands.clear();
  }

  /** Appended bytes meet their fate before the sync; a replaced file is there or it is not. */
  private void beginDiskTask(final DiskTask task, final int fate, final byte[] before) {
    disk.replaced = false;
    task.blocking().run();
    if (world.fault != ModelFault.SYNC_SKIPPED && !disk.replaced) {
      final byte[] after = disk.durable();
      final int keptLength = before == null ? 0 : before.length;
      disk = new ModelDisk(false);
      if (before != null) {
        disk.replace("", before);
      }
      disk.append("", java.util.Arrays.copyOfRange(after, keptLength, after.length));
    }
    disk.stopped(fate);
  }

  void wipe() {
    wipes++;
    disk = new ModelDisk(world.fault == ModelFault.SYNC_SKIPPED);
  }

  /** Fires timers, in order, until one of them does something that others or the disk can see. */
  void timerFires() {
    final long seenBefore = world.sent;
    final int diskTasksBefore = diskTasks.size();
    for (int count = 0;
        count < 12 && world.sent == seenBefore && diskTasks.size() == diskTasksBefore;
        count++) {
      nowMs = Math.max(nowMs, nextTimer().atMs);
      fire(nextTimer());
    }
  }

  private Timer nextTimer() {
    Timer first = timers.get(0);
    for (final Timer timer : timers) {
      if (ORDER.compare(timer, first) < 0) {
        first = timer;
      }
    }
    return first;
  }

  private void fire(final Timer timer) {
    timers.remove(timer);
    timer.task.run();
    runCommands();
  }

  /** The plain clock: all that is due by then. */
  void clockGoesTo(final long thenMs) {
    while (up() && !timers.isEmpty() && nextTimer().atMs <= thenMs) {
      nowMs = Math.max(nowMs, nextTimer().atMs);
      fire(nextTimer());
    }
    nowMs = Math.max(nowMs, thenMs);
  }

  /** The process did not run for a while: messages may be read before its timers are. */
  void froze() {
    nowMs += FROZEN_MS;
  }

  void runCommands() {
    while (!commands.isEmpty()) {
      commands.poll().run();
    }
  }

  @Override
  public long nowMs() {
    return nowMs;
  }

  @Override
  public void schedule(final long delayMs, final Runnable task) {
    timers.add(new Timer(nowMs + Math.max(1, delayMs), order++, task));
  }

  @Override
  public void execute(final Runnable command) {
    commands.add(command);
  }

  @Override
  public Random random() {
    return world.plainLuck == null ? LEAST : world.plainLuck;
  }
}
