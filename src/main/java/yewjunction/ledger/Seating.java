package yewjunction.ledger;

import java.util.Set;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;

/**
 * How many vote in a group, which addresses are to hold no vote, and in which zone an address lies.
 * Without a number of seats whoever wants a vote gets one.
 */
public record Seating(int seats, Supplier<Set<String>> leaving, UnaryOperator<String> zoneOf) {
    static final Seating OPEN = new Seating(Integer.MAX_VALUE, Set::of, address -> "");
}
