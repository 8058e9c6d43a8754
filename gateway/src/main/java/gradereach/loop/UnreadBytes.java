package gradereach.loop;

import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;

/**
 * Reads what has arrived on a socket and not been read yet. A connection that is about to be closed for being quiet may
 * hold the next request: the event loop comes to its sockets one after the other, and not at all while it stands still.
 */
public final class UnreadBytes {
    private UnreadBytes() { }

    /** Passes what is there through the channel's pipeline; on its event loop. The channel may be closed after it. */
    public static void read(Channel channel) {
        if (channel.isActive() && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe socket) {
            socket.read();
        }
    }
}
