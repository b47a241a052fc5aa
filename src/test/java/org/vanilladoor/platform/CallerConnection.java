package org.vanilladoor.platform;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.regex.Pattern;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.common.MonotonicClock;

/**
 * A caller's kept connection, which reads responses strictly.
 *
 * <p>Confined to one thread.
 */
final class CallerConnection implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MILLIS = 500;
    private static final Pattern STATUS_LINE =
            Pattern.compile("HTTP/1\\.1 [1-5][0-9][0-9]( [^\r\n]*)?\r\n");
    private static final Pattern FIELD = Pattern.compile("[!#-'*+.^_`|~0-9A-Za-z-]+:[^\r\n\0]*");
    private final Socket mSocket;
    private final InputStream mInput;
    private boolean mUsable = true;

    private CallerConnection(Socket socket) throws IOException {
        mSocket = socket;
        mInput = new BufferedInputStream(socket.getInputStream());
    }

    static CallerConnection open(HostPort address, int readTimeoutMillis) throws IOException {
        Socket socket = new Socket();
        socket.connect(
                new InetSocketAddress(address.host(), address.port()), CONNECT_TIMEOUT_MILLIS);
        socket.setSoTimeout(readTimeoutMillis);
        return new CallerConnection(socket);
    }

    /** Returns whether another request can be sent. */
    boolean isUsable() {
        return mUsable;
    }

    /** Returns whether bytes have arrived that belong to no response read so far. */
    boolean hasUnexpectedBytes() throws IOException {
        return mInput.available() > 0;
    }

    /** Sends a request and reads its response. */
    Response exchange(String request) {
        long startMillis = MonotonicClock.nowMillis();
        Reader reader = new Reader(request.startsWith("HEAD "));
        End end = reader.read(request);
        mUsable = end == End.COMPLETE && !reader.field("connection").equals("close");
        return new Response(
                reader.mHead.toString(),
                reader.mBody.toString(),
                end,
                MonotonicClock.nowMillis() - startMillis);
    }

    /** Reads on until the connection ends and returns whether no further byte came. */
    boolean endsWithoutFurtherBytes() throws IOException {
        try {
            return mInput.read() < 0;
        } catch (SocketTimeoutException e) {
            return false;
        }
    }

    @Override
    public void close() throws IOException {
        mSocket.close();
    }

    /** How a response ended. */
    enum End {
        /** As its head states. */
        COMPLETE,
        /** With its connection, before it was complete. */
        CUT_OFF,
        /** Not within the read timeout. */
        NEVER,
        /** With bytes that are no response. */
        MALFORMED
    }

    /**
     * A response as the caller received it.
     *
     * @param head status line and header fields with the empty line, or what came of them
     * @param body the body without chunk framing, or what came of it
     * @param end how it ended
     * @param tookMillis time from sending the request until the end
     */
    record Response(String head, String body, End end, long tookMillis) {
        /** Returns the status, or 0 if there was no complete head. */
        int status() {
            return head.endsWith("\r\n\r\n") ? Integer.parseInt(head.substring(9, 12)) : 0;
        }

        /** Returns the value of a header field, or an empty string. */
        String field(String name) {
            return fieldOf(head, name);
        }
    }

    private static String fieldOf(String head, String name) {
        return head.lines()
                .filter(line -> line.toLowerCase(Locale.ROOT).startsWith(name + ":"))
                .map(line -> line.substring(name.length() + 1).strip())
                .findFirst()
                .orElse("");
    }

    /** Reads one response. */
    private final class Reader {
        private final boolean mIsHeadRequest;
        private final StringBuilder mHead = new StringBuilder();
        private final StringBuilder mBody = new StringBuilder();

        Reader(boolean isHeadRequest) {
            mIsHeadRequest = isHeadRequest;
        }

        End read(String request) {
            try {
                mSocket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
                if (!readHead()) {
                    return End.MALFORMED;
                }
                return readBody() ? End.COMPLETE : End.MALFORMED;
            } catch (NumberFormatException e) {
                return End.MALFORMED;
            } catch (SocketTimeoutException e) {
                return End.NEVER;
            } catch (IOException e) {
                return End.CUT_OFF;
            }
        }

        private boolean readHead() throws IOException {
            mHead.append(readLine());
            if (!STATUS_LINE.matcher(mHead).matches()) {
                return false;
            }
            while (!mHead.toString().endsWith("\r\n\r\n")) {
                String line = readLine();
                if (!line.equals("\r\n") && !FIELD.matcher(line.stripTrailing()).matches()) {
                    return false;
                }
                mHead.append(line);
            }
            return true;
        }

        private boolean readBody() throws IOException {
            String status = mHead.substring(9, 12);
            if (mIsHeadRequest || status.equals("204") || status.equals("304")) {
                return true;
            }
            if (!field("transfer-encoding").equals("chunked")) {
                String length = field("content-length");
                readText(length.isEmpty() ? 0 : Integer.parseInt(length));
                return true;
            }
            int size = Integer.parseInt(readLine().strip(), 16);
            while (size > 0) {
                readText(size);
                if (!readLine().equals("\r\n")) {
                    return false;
                }
                size = Integer.parseInt(readLine().strip(), 16);
            }
            return readLine().equals("\r\n");
        }

        private void readText(int length) throws IOException {
            for (int i = 0; i < length; i++) {
                mBody.append((char) readByte());
            }
        }

        private String readLine() throws IOException {
            StringBuilder line = new StringBuilder();
            while (line.length() < 2 || line.charAt(line.length() - 1) != '\n') {
                line.append((char) readByte());
            }
            return line.toString();
        }

        private int readByte() throws IOException {
            int value = mInput.read();
            if (value < 0) {
                throw new EOFException("response ended early");
            }
            return value;
        }

        private String field(String name) {
            return fieldOf(mHead.toString(), name);
        }
    }
}
