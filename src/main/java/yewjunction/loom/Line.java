package yewjunction.loom;

/** One client's connection, as its owner sees it. */
public interface Line {
    /** Where to write; flushed at the end of the turn. */
    Outbox out();

    /** Bytes that wait to be written. */
    int waiting();

    /** Closes once what waits is written. */
    void closeSoon();

    void close();

    boolean open();

    /** Reads what came. */
    interface Owner {
        /** Consumes whole messages from the start; answers how many bytes it took. */
        int take(byte[] bytes, int length);

        void closed();
    }

    /** Makes an owner for each new line. */
    interface Greeter {
        Owner greet(Line line);
    }
}
