package org.vanilladoor.platform;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.function.Function;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.common.ThreadPools;

/** An endpoint that answers each request with the bytes that a test wants. */
final class ScriptedEndpoint implements AutoCloseable {
    private static final ExecutorService THREADS =
            ThreadPools.newDaemonThreadPool("scripted-endpoint");
    private final ServerSocket mServer;
    private final Function<Received, Answer> mScript;
    private final List<Received> mReceived = new CopyOnWriteArrayList<>();
    private final List<Socket> mSockets = new CopyOnWriteArrayList<>();
    private final CountDownLatch mClose = new CountDownLatch(1);
    private volatile int mClosedByPeer;

    private ScriptedEndpoint(ServerSocket server, Function<Received, Answer> script) {
        mServer = server;
        mScript = script;
    }

    static ScriptedEndpoint start(Function<Received, Answer> script) throws IOException {
        ServerSocket server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        ScriptedEndpoint endpoint = new ScriptedEndpoint(server, script);
        THREADS.execute(endpoint::accept);
        return endpoint;
    }

    HostPort address() {
        return new HostPort("127.0.0.1", mServer.getLocalPort());
    }

    List<Received> received() {
        return mReceived;
    }

    void tellToClose() {
        mClose.countDown();
    }

    int closedByPeer() {
        return mClosedByPeer;
    }

    /** Returns a whole answer that bears the request's identifier and the endpoint's proof. */
    static Answer response(Received request, int status, String headers, String body) {
        return new Answer(
                head(request, status)
                        + headers
                        + "Content-Length: "
                        + body.length()
                        + "\r\n\r\n"
                        + body,
                End.KEEP);
    }

    /** Returns an event stream in chunks. */
    static Answer streamResponse(Received request, End end, String... events) {
        StringBuilder text = new StringBuilder(head(request, 200));
        text.append("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (String event : events) {
            text.append(Integer.toHexString(event.length()));
            text.append("\r\n").append(event).append("\r\n");
        }
        return new Answer(text + (end == End.KEEP ? "0\r\n\r\n" : ""), end);
    }

    private static String head(Received request, int status) {
        return "HTTP/1.1 "
                + status
                + " Status\r\nVanilladoor-Attempt-Id: "
                + request.header("vanilladoor-attempt-id")
                + "\r\nVanilladoor-Stamp: proof\r\n";
    }

    @Override
    public void close() throws IOException {
        mServer.close();
        for (Socket socket : mSockets) {
            socket.close();
        }
    }

    private void accept() {
        while (!mServer.isClosed()) {
            try {
                Socket socket = mServer.accept();
                mSockets.add(socket);
                THREADS.execute(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream input = new BufferedInputStream(socket.getInputStream());
            while (true) {
                Received request = Received.read(input);
                if (request == null) {
                    return;
                }
                mReceived.add(request);
                Answer answer = mScript.apply(request);
                socket.getOutputStream().write(answer.text().getBytes(StandardCharsets.US_ASCII));
                socket.getOutputStream().flush();
                if (answer.end() == End.HANG) {
                    mClosedByPeer += input.read() < 0 ? 1 : 0;
                    return;
                }
                if (answer.end() == End.CLOSE_WHEN_TOLD) {
                    mClose.await();
                    return;
                }
                if (answer.end() == End.RESET) {
                    socket.setSoLinger(true, 0);
                }
                if (answer.end() != End.KEEP) {
                    return;
                }
            }
        } catch (IOException e) {
            mClosedByPeer++;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** What follows an answer's bytes. */
    enum End {
        KEEP,
        CLOSE,
        CLOSE_WHEN_TOLD,
        RESET,
        HANG
    }

    /** Bytes to send, and what follows. */
    record Answer(String text, End end) {}

    /** A request as it came. */
    record Received(String head, String body) {
        String header(String name) {
            return head.lines()
                    .filter(line -> line.toLowerCase(Locale.ROOT).startsWith(name + ":"))
                    .map(line -> line.substring(name.length() + 1).strip())
                    .findFirst()
                    .orElse("");
        }

        static Received read(InputStream input) throws IOException {
            ByteArrayOutputStream head = new ByteArrayOutputStream();
            while (!head.toString(StandardCharsets.US_ASCII).endsWith("\r\n\r\n")) {
                int next = input.read();
                if (next < 0) {
                    return null;
                }
                head.write(next);
            }
            Received bare = new Received(head.toString(StandardCharsets.US_ASCII), "");
            String length = bare.header("content-length");
            byte[] body = input.readNBytes(length.isEmpty() ? 0 : Integer.parseInt(length));
            return new Received(bare.head(), new String(body, StandardCharsets.US_ASCII));
        }
    }
}
