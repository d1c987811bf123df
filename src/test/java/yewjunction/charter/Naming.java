package yewjunction.charter;

import yewjunction.charter.Letters.Enlist;

/** Plants a fault: a letter that asks for a replica's name for a life of a process that is over. */
public final class Naming {
    private Naming() {
    }

    public static Object enlist(final String address, final long life) {
        final Enlist enlist = new Enlist();
        enlist.who.address = address;
        enlist.who.node = "node-" + address;
        enlist.who.duty = "tide";
        enlist.who.life = life;
        return enlist;
    }
}
