package org.vanilladoor.caller;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import org.vanilladoor.common.HostPort;

/** Writes bytes to a port and reads what comes back, well-formed or not. */
final class RawCaller {
    private static final int LIMIT_MILLIS = 10_000;

    private RawCaller() {}

    /** Returns what came back until the other side closed; fails if it never did. */
    static String send(HostPort address, byte[] bytes) throws IOException {
        try (Socket socket = new Socket(address.host(), address.port())) {
            socket.setSoTimeout(LIMIT_MILLIS);
            socket.getOutputStream().write(bytes);
            socket.getOutputStream().flush();
            return readToEnd(socket);
        }
    }

    static String send(HostPort address, String text) throws IOException {
        return send(address, text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static String readToEnd(Socket socket) throws IOException {
        ByteArrayOutputStream answer = new ByteArrayOutputStream();
        byte[] buffer = new byte[4_096];
        try {
            for (int count = socket.getInputStream().read(buffer);
                    count >= 0;
                    count = socket.getInputStream().read(buffer)) {
                answer.write(buffer, 0, count);
            }
        } catch (SocketTimeoutException e) {
            throw new IOException("the connection hangs after: " + answer, e);
        } catch (IOException e) {
            // A reset ends the answer as well.
            answer.flush();
        }
        return answer.toString(StandardCharsets.UTF_8);
    }
}
