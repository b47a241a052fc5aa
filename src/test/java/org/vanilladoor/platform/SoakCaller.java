package org.vanilladoor.platform;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import org.vanilladoor.common.HostPort;

/**
 * A caller that sends requests one after the other and keeps its connections while it can.
 *
 * <p>Runs on a thread of its own.
 */
final class SoakCaller implements Runnable {
    private static final int CONNECT_MILLIS = 500;
    private static final int ANSWER_MILLIS = 4_000;
    private static final long PAUSE_MILLIS = 5;
    private final String mName;
    private final SoakLedger mLedger;
    private final List<SoakVm> mVms;
    private final SplittableRandom mRandom;
    private volatile boolean mStopped;
    private Socket mSocket;
    private SoakVm mVm;
    private int mNumber;

    SoakCaller(String name, SoakLedger ledger, List<SoakVm> vms, SplittableRandom random) {
        mName = name;
        mLedger = ledger;
        mVms = vms;
        mRandom = random;
    }

    void stop() {
        mStopped = true;
    }

    @Override
    public void run() {
        while (!mStopped) {
            SoakRoute route = SoakRoute.values()[mRandom.nextInt(SoakRoute.values().length)];
            String key = SoakRoute.KEYS.get(mRandom.nextInt(SoakRoute.KEYS.size()));
            String attempt = mName + "-" + mNumber++;
            try {
                connect();
                mLedger.sending(attempt, route, key, System.currentTimeMillis());
                mLedger.answered(attempt, exchange(attempt, route, key));
            } catch (IOException e) {
                mLedger.answered(attempt, 0);
                leave();
            }
            pause();
        }
        leave();
    }

    private void pause() {
        try {
            Thread.sleep(PAUSE_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            stop();
        }
    }

    private void connect() throws IOException {
        // Now and then to another VM, else on with the connection that is open.
        if (mSocket != null && mRandom.nextInt(20) > 0) {
            return;
        }
        leave();
        mVm = mVms.get(mRandom.nextInt(mVms.size()));
        HostPort address = mVm.callers();
        mSocket = new Socket();
        mSocket.connect(new InetSocketAddress(address.host(), address.port()), CONNECT_MILLIS);
        mSocket.setSoTimeout(ANSWER_MILLIS);
    }

    private void leave() {
        try {
            if (mSocket != null) {
                mSocket.close();
            }
        } catch (IOException e) {
            // A connection that can't be closed properly is gone as well.
            mSocket = null;
        }
        mSocket = null;
    }

    private int exchange(String attempt, SoakRoute route, String key) throws IOException {
        String request =
                "POST "
                        + route.prefix()
                        + "x HTTP/1.1\r\nHost: soak\r\nVanilladoor-Attempt-Id: "
                        + attempt
                        + "\r\nVanilladoor-Deadline-Ms: 3000\r\nVanilladoor-Tenant: forged\r\n"
                        + "Vanilladoor-Key: "
                        + key
                        + "\r\nContent-Length: 4\r\n\r\nbody";
        mSocket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        InputStream input = new BufferedInputStream(mSocket.getInputStream());
        String head = head(input);
        int status = Integer.parseInt(head.substring(9, 12));
        String body = body(input, head);
        if (status == 200) {
            check(attempt, route, head, body);
        }
        if (head.contains("connection: close")) {
            leave();
        }
        return status;
    }

    private void check(String attempt, SoakRoute route, String head, String body) {
        String expected =
                route == SoakRoute.FLOW
                        ? SoakEndpoint.events(attempt)
                        : SoakEndpoint.answer(attempt);
        if (!body.equals(expected) || !head.contains("vanilladoor-attempt-id: " + attempt)) {
            mLedger.broken(attempt + " got an answer that is not its own: " + head + body);
        }
    }

    private static String head(InputStream input) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            head.append((char) next(input));
        }
        return head.toString().toLowerCase(Locale.ROOT);
    }

    private static String body(InputStream input, String head) throws IOException {
        if (!head.contains("transfer-encoding: chunked")) {
            int at = head.indexOf("content-length: ");
            int length =
                    at < 0 ? 0 : Integer.parseInt(head.substring(at + 16, head.indexOf('\r', at)));
            return text(input, length);
        }
        StringBuilder body = new StringBuilder();
        int size = chunkSize(input);
        while (size > 0) {
            body.append(text(input, size));
            text(input, 2);
            size = chunkSize(input);
        }
        text(input, 2);
        return body.toString();
    }

    private static int chunkSize(InputStream input) throws IOException {
        StringBuilder line = new StringBuilder();
        while (line.indexOf("\r\n") < 0) {
            line.append((char) next(input));
        }
        return Integer.parseInt(line.toString().strip(), 16);
    }

    private static String text(InputStream input, int length) throws IOException {
        byte[] bytes = input.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("the answer ends early");
        }
        return new String(bytes, StandardCharsets.US_ASCII);
    }

    private static int next(InputStream input) throws IOException {
        int next = input.read();
        if (next < 0) {
            throw new EOFException("the answer ends early");
        }
        return next;
    }
}
