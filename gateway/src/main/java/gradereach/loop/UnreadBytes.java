package gradereach.loop;

import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;

/**
 * Reads what has arrived on a socket and not been read yet. A connection that is about to be closed for being quiet may
 * hold the next request: the event loop comes to its sockets one after the other, and not at all while it stands still.
 */
public final class UnreadBytes {
    /** Turns of reading at most; a sender at full speed is not followed for ever. */
    private static final int MAX_READ_CALLS = 32;

    private UnreadBytes() { }

    /**
     * Passes what is there through the channel's pipeline; on its event loop. The channel may be closed after it. A turn ends
     * with a read that brings less than it might, which is no sign that there is nothing more.
     */
    public static void read(Channel channel) {
        for (int turn = 0; turn < MAX_READ_CALLS; turn++) {
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
