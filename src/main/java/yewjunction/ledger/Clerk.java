package yewjunction.ledger;

/** Does blocking work elsewhere, in the order given, and comes back on the owner's thread. */
public interface Clerk {
    void work(Runnable blocking, Runnable afterwards);
}
