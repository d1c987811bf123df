package yewjunction.raft;

import java.util.Set;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;

/**
 * How many vote in a group, which addresses are to hold no vote, and in which zone an address lies.
 * Without a number of votes whoever wants a vote gets one.
 */
public record VoterPlacement(
    int voterCount, Supplier<Set<String>> leavingAddresses, UnaryOperator<String> zoneOf) {
  static final VoterPlacement UNBOUNDED =
      new VoterPlacement(Integer.MAX_VALUE, Set::of, address -> "");
}
