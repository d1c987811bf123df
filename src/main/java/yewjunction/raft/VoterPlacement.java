package yewjunction.raft;

import java.util.Set;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;

/**
 * How many members of a group vote, which addresses must not, and in which zone an address lies.
 * Without a number of voters whoever wants a vote gets one.
 *
 * @param voterCount how many vote
 * @param leavingAddresses addresses whose machines are being emptied
 * @param zoneOf the zone of an address, empty when it is not known
 */
public record VoterPlacement(
    int voterCount, Supplier<Set<String>> leavingAddresses, UnaryOperator<String> zoneOf) {
  static final VoterPlacement UNBOUNDED =
      new VoterPlacement(Integer.MAX_VALUE, Set::of, address -> "");
}
