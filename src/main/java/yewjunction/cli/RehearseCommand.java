package yewjunction.cli;

import com.github.rvesse.airline.annotations.Command;
import java.util.concurrent.Callable;

/**
 * Runs a whole small system in this process; the build does so too, to record which classes a start
 * needs.
 */
@Command(
    name = "rehearse",
    description = "Starts a whole small system on loopback, passes messages through it, and ends")
public final class RehearseCommand implements Callable<Integer> {
  @Override
  public Integer call() throws Exception {
    return Rehearsal.run(System.out);
  }
}
