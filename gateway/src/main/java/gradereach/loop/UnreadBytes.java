package gradereach.loop;

import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;

/**
 * Reads what has arrived on a socket and has not been read yet. A connection that is about to be closed for being idle may
 * already hold the next request, since the event loop serves its sockets one after the other, and none during a stall.
 */
public final class UnreadBytes {
    /** Bounds the loop, since a fast sender could keep it busy forever. */
    private static final int MAX_READ_CALLS = 32;

    private UnreadBytes() { }

    /**
     * Reads the available bytes through the channel's pipeline. Must be called on the channel's event loop; the channel may be
     * closed afterwards. Reads until nothing is returned: Netty's read call ends after a short read, which does not mean that
     * nothing more is available.
     */
    public static void read(Channel channel) {
        for (int call = 0; call < MAX_READ_CALLS; call++) {
            if (!channel.isActive() || !(channel.unsafe() instanceof AbstractNioChannel.NioUnsafe socket)) {
                return;
            }
            socket.read();
            if (channel.unsafe().recvBufAllocHandle().lastBytesRead() <= 0) {
                return;
            }
        }
    }
}
