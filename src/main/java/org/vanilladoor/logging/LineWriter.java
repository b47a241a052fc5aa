package org.vanilladoor.logging;

import java.io.PrintStream;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writes lines to a stream on a thread of its own.
 *
 * <p>Invariants: lines are written in the order in which they were added; adding a line never
 * blocks; a line that finds the buffer full is dropped and counted, and the count is written before
 * a later line. Safe for use by any thread.
 */
final class LineWriter {
    private static final int CAPACITY_LINES = 2_048;
    private static final String END = "";
    private final BlockingQueue<String> mLines = new ArrayBlockingQueue<>(CAPACITY_LINES);
    private final AtomicLong mDropped = new AtomicLong();
    private final PrintStream mOutput;
    private final Thread mThread;

    private LineWriter(PrintStream output) {
        mOutput = output;
        mThread = new Thread(this::writeUntilEnd, "log");
        mThread.setDaemon(true);
    }

    /** Starts a writer to the given stream, which it does not close. */
    static LineWriter start(PrintStream output) {
        LineWriter writer = new LineWriter(output);
        writer.mThread.start();
        return writer;
    }

    /** Adds a line without its line break, or drops it if the buffer is full. */
    void add(String line) {
        if (!mLines.offer(line + "\n")) {
            mDropped.incrementAndGet();
        }
    }

    /**
     * Ends the writer once the lines added so far have been written.
     *
     * @param timeoutMillis maximum time to wait for that
     */
    void close(long timeoutMillis) {
        try {
            mLines.offer(END, timeoutMillis, TimeUnit.MILLISECONDS);
            mThread.join(timeoutMillis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void writeUntilEnd() {
        try {
            for (String line = mLines.take(); !line.equals(END); line = mLines.take()) {
                write(line);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void write(String line) {
        long dropped = mDropped.getAndSet(0);
        if (dropped > 0) {
            mOutput.print("part=log event=lines.dropped count=" + dropped + "\n");
        }
        mOutput.print(line);
        if (mLines.isEmpty()) {
            mOutput.flush();
        }
    }
}
