package org.vanilladoor.caller;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import org.vanilladoor.common.HostPort;

/** Sends bytes to a port as they are, well-formed or not, and reads the response. */
final class RawHttpClient {
    private static final int READ_TIMEOUT_MILLIS = 10_000;

    private RawHttpClient() {}

    /**
     * Returns what was received until the server closed the connection; fails if it does not close.
     */
    static String send(HostPort address, byte[] bytes) throws IOException {
        try (Socket socket = new Socket(address.host(), address.port())) {
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            socket.getOutputStream().write(bytes);
            socket.getOutputStream().flush();
            return readToEnd(socket);
        }
    }

    static String send(HostPort address, String text) throws IOException {
        return send(address, text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static String readToEnd(Socket socket) throws IOException {
        ByteArrayOutputStream response = new ByteArrayOutputStream();
        byte[] buffer = new byte[4_096];
        try {
            for (int count = socket.getInputStream().read(buffer);
                    count >= 0;
                    count = socket.getInputStream().read(buffer)) {
                response.write(buffer, 0, count);
            }
        } catch (SocketTimeoutException e) {
            throw new IOException("the connection stays open after: " + response, e);
        } catch (IOException e) {
            // A connection reset ends the response as well.
            response.flush();
        }
        return response.toString(StandardCharsets.UTF_8);
    }
}
