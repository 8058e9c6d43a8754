package gradereach.http2;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradereach.http2.StreamAllocator.Placement;
import gradereach.http2.StreamAllocator.PooledConnection;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class StreamAllocatorTest {
    private final StreamAllocator<String> allocator = new StreamAllocator<>(2, 3, 1000, 500);

    private PooledConnection<String> openConnection(String name, double now) {
        assertEquals(Placement.CONNECT_AND_WAIT, allocator.placeStream());
        allocator.onWaitEnded();
        return allocator.onConnected(name, now);
    }

    @Test
    void fillsOneConnectionBeforeOpeningAnother() {
        PooledConnection<String> a = openConnection("a", 0);
        for (int i = 0; i < 3; i++) {
            assertEquals(Placement.USE_CONNECTION, allocator.placeStream());
            allocator.onStreamStarted(allocator.busiestAvailable());
        }
        PooledConnection<String> b = openConnection("b", 1);
        allocator.onStreamStarted(b);
        allocator.onStreamEnded(a, 2);
        assertSame(a, allocator.busiestAvailable());
        allocator.onStreamEnded(b, 3);
        assertTrue(allocator.shouldClose(b, 1003));
        assertFalse(allocator.shouldClose(a, 1003));
    }

    @Test
    void waitingStreamsNeverExceedCapacityOfConnectionsBeingOpened() {
        for (int i = 0; i < 6; i++) {
            assertEquals(i % 3 == 0 ? Placement.CONNECT_AND_WAIT : Placement.WAIT, allocator.placeStream());
        }
        assertEquals(Placement.FULL, allocator.placeStream());
        assertEquals(2, allocator.connectingCount());
        assertFalse(allocator.onConnectFailed());
        assertTrue(allocator.onConnectFailed());
    }

    @Test
    void drainingOrFullConnectionTakesNoStream() {
        PooledConnection<String> a = openConnection("a", 0);
        allocator.setPeerStreamLimit(a, 1);
        allocator.onStreamStarted(a);
        assertNull(allocator.busiestAvailable());
        allocator.onStreamEnded(a, 1);
        allocator.startDraining(a);
        assertNull(allocator.busiestAvailable());
        assertTrue(allocator.shouldClose(a, 1));
    }

    /** A connection on which everything is lost: only silence since the stream started counts, and only after the timeout. */
    @Test
    void silentConnectionStartsDraining() {
        PooledConnection<String> a = openConnection("a", 0);
        allocator.onReceived(a, 100);
        allocator.onStreamCancelled(a, 50, 700);
        assertFalse(a.isDraining());
        allocator.onStreamCancelled(a, 200, 600);
        assertFalse(a.isDraining());
        allocator.onStreamCancelled(a, 200, 701);
        assertTrue(a.isDraining());
    }

    /** After any sequence of events the limits hold and the counters match the streams. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void limitsHoldForRandomEventSequences(long seed) {
        Random random = new Random(seed);
        List<PooledConnection<String>> streams = new ArrayList<>();
        int waiting = 0;
        for (int step = 0; step < 5000; step++) {
            switch (random.nextInt(6)) {
                case 0, 1 -> {
                    switch (allocator.placeStream()) {
                        case USE_CONNECTION -> {
                            streams.add(allocator.busiestAvailable());
                            allocator.onStreamStarted(streams.get(streams.size() - 1));
                        }
                        case CONNECT_AND_WAIT, WAIT -> waiting++;
                        case FULL -> { }
                    }
                }
                case 2 -> {
                    if (allocator.connectingCount() > 0) {
                        allocator.onConnected("c" + step, step);
                    }
                }
                case 3 -> {
                    if (allocator.connectingCount() > 0 && allocator.onConnectFailed()) {
                        for (; waiting > 0; waiting--) {
                            allocator.onWaitEnded();
                        }
                    }
                }
                case 4 -> {
                    if (!streams.isEmpty()) {
                        allocator.onStreamEnded(streams.remove(random.nextInt(streams.size())), step);
                    }
                }
                default -> {
                    if (!allocator.connections().isEmpty() && random.nextInt(10) == 0) {
                        PooledConnection<String> closed = allocator.connections().get(random.nextInt(allocator.connections().size()));
                        streams.removeIf(connection -> connection == closed);
                        allocator.onConnectionClosed(closed);
                    }
                }
            }
            for (; waiting > 0 && allocator.busiestAvailable() != null; waiting--) {
                allocator.onWaitEnded();
                streams.add(allocator.busiestAvailable());
                allocator.onStreamStarted(streams.get(streams.size() - 1));
            }
            long usable = allocator.connections().stream().filter(connection -> !connection.isDraining()).count()
                    + allocator.connectingCount();
            assertTrue(usable <= 2, "at step " + step);
            assertTrue(allocator.connections().stream().allMatch(connection -> connection.activeStreams() <= 3));
            assertEquals(streams.size(), allocator.connections().stream().mapToInt(PooledConnection::activeStreams).sum());
        }
    }
}
