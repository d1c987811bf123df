package yewjunction.base;

import java.util.function.BiConsumer;
import java.util.function.Consumer;

/** Letters between peers over ordered links. */
public interface Post {
    /** The link to that address, dialled when there is none. */
    Link dial(String address);

    <T> void on(Class<T> kind, BiConsumer<Link, T> handler);

    void onClose(Consumer<Link> handler);
}
