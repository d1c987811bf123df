package yewjunction.capacity;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;

/** What the current thread has used since this was made: processor time and allocated memory. */
final class ThreadUsage {
  private static final double NANOS_PER_MICRO = 1_000.0;
  private static final double BYTES_PER_KB = 1_024.0;

  private final ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
  private final long cpuNsBefore = threads.getCurrentThreadCpuTime();
  private final long allocatedBytesBefore = threads.getCurrentThreadAllocatedBytes();

  double cpuMicros() {
    return (threads.getCurrentThreadCpuTime() - cpuNsBefore) / NANOS_PER_MICRO;
  }

  double allocatedKb() {
    return (threads.getCurrentThreadAllocatedBytes() - allocatedBytesBefore) / BYTES_PER_KB;
  }
}
