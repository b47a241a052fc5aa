package org.vanilladoor.logging;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.Logger;
import org.junit.jupiter.api.Test;

/**
 * Guards against log lines that are lost at a planned stop, and against a reader of the log that
 * blocks the process because it no longer reads.
 */
class LineLoggerTests {
    private static final long CLOSE_TIMEOUT_MILLIS = 5_000;
    private static final int MORE_LINES_THAN_FIT = 5_000;
    private final ByteArrayOutputStream mWritten = new ByteArrayOutputStream();

    @Test
    void linesAreWrittenInOrderBeforeTheWriterCloses() {
        LineWriter writer = LineWriter.start(printStream(mWritten));
        writer.add("first");
        writer.add("second");
        writer.close(CLOSE_TIMEOUT_MILLIS);
        assertThat(written()).isEqualTo("first\nsecond\n");
    }

    @Test
    void aLineHasTheTimeAndTheLevelInFront() {
        LineWriter writer = LineWriter.start(printStream(mWritten));
        Logger logger = LineLoggerContext.create(Level.INFO, writer).getLogger("events");
        logger.info("part=a event={}", "b");
        writer.close(CLOSE_TIMEOUT_MILLIS);
        assertThat(written()).containsMatch("^ts=\\d+ level=INFO part=a event=b\n$");
    }

    @Test
    void theStackTraceOfAnErrorFollowsItsLine() {
        LineWriter writer = LineWriter.start(printStream(mWritten));
        Logger logger = LineLoggerContext.create(Level.INFO, writer).getLogger("events");
        logger.error("failed", new IllegalStateException("broken"));
        writer.close(CLOSE_TIMEOUT_MILLIS);
        assertThat(written())
                .contains("level=ERROR failed\njava.lang.IllegalStateException: broken");
    }

    @Test
    void messagesBelowTheLevelAndInformationOfLibrariesAreLeftOut() {
        LineWriter writer = LineWriter.start(printStream(mWritten));
        LineLoggerContext context = LineLoggerContext.create(Level.INFO, writer);
        context.getLogger("events").debug("detail");
        context.getLogger("org.apache.hc").warn("library");
        writer.close(CLOSE_TIMEOUT_MILLIS);
        assertThat(written()).isEmpty();
    }

    @Test
    void aStuckOutputBlocksNobodyAndTheDroppedLinesAreCounted() {
        CountDownLatch released = new CountDownLatch(1);
        LineWriter writer = LineWriter.start(printStream(new StuckOutput(released)));
        for (int line = 0; line < MORE_LINES_THAN_FIT; line++) {
            writer.add("line");
        }
        released.countDown();
        writer.close(CLOSE_TIMEOUT_MILLIS);
        assertThat(written()).contains("event=lines.dropped count=");
        long lines = written().lines().filter("line"::equals).count();
        assertThat(lines).isLessThan(MORE_LINES_THAN_FIT);
    }

    private String written() {
        return mWritten.toString(StandardCharsets.UTF_8);
    }

    private static PrintStream printStream(OutputStream output) {
        return new PrintStream(output, true, StandardCharsets.UTF_8);
    }

    /** Blocks each write until it is released. */
    private final class StuckOutput extends OutputStream {
        private final CountDownLatch mReleased;

        StuckOutput(CountDownLatch released) {
            mReleased = released;
        }

        @Override
        public void write(int value) {
            write(new byte[] {(byte) value}, 0, 1);
        }

        @Override
        public void write(byte[] bytes, int offset, int length) {
            try {
                mReleased.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            mWritten.write(bytes, offset, length);
        }
    }
}
