package yewjunction.vault;

/** A kept message; its index in the ledger is its position. */
public final class Message {
    public long index;
    public String topic = "";
    public String client = "";
    public long number;
    public byte[] body = new byte[0];
    /** Whose quota it counts against, empty for none. */
    String tenant = "";
    public void tenant(final String tenantName) {
        tenant = tenantName;
    }

    /** When this vault got it, by its own steady clock: other clocks mean nothing here. */
    transient long atMs;
}
