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
 * A caller that sends requests one after the other and reuses its connection while possible.
 *
 * <p>Runs on its own thread.
 */
final class SoakCaller implements Runnable {
    private static final int CONNECT_TIMEOUT_MILLIS = 500;
    private static final int READ_TIMEOUT_MILLIS = 4_000;
    private static final long PAUSE_MILLIS = 5;
    private final String mName;
    private final SoakLedger mLedger;
    private final List<SoakVm> mVms;
    private final SplittableRandom mRandom;
    private volatile boolean mStopped;
    private Socket mSocket;
    private SoakVm mVm;
    private int mNextNumber;

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
            String attempt = mName + "-" + mNextNumber++;
            try {
                connect();
                mLedger.recordSent(attempt, route, key, System.currentTimeMillis());
                mLedger.recordResponse(attempt, exchange(attempt, route, key));
            } catch (IOException e) {
                mLedger.recordResponse(attempt, 0);
                disconnect();
            }
            pause();
        }
        disconnect();
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
        // Reconnects for one request in twenty, to a random VM; otherwise reuses the open
        // connection.
        if (mSocket != null && mRandom.nextInt(20) > 0) {
            return;
        }
        disconnect();
        mVm = mVms.get(mRandom.nextInt(mVms.size()));
        HostPort address = mVm.callerAddress();
        mSocket = new Socket();
        mSocket.connect(
                new InetSocketAddress(address.host(), address.port()), CONNECT_TIMEOUT_MILLIS);
        mSocket.setSoTimeout(READ_TIMEOUT_MILLIS);
    }

    private void disconnect() {
        try {
            if (mSocket != null) {
                mSocket.close();
            }
        } catch (IOException e) {
            // The connection is unusable even if closing it fails.
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
        String responseHead = readHead(input);
        int status = Integer.parseInt(responseHead.substring(9, 12));
        String responseBody = readBody(input, responseHead);
        if (status == 200) {
            checkResponse(attempt, route, responseHead, responseBody);
        }
        if (responseHead.contains("connection: close")) {
            disconnect();
        }
        return status;
    }

    private void checkResponse(
            String attempt, SoakRoute route, String responseHead, String responseBody) {
        String expected =
                route == SoakRoute.FLOW
                        ? SoakEndpoint.streamBody(attempt)
                        : SoakEndpoint.responseBody(attempt);
        if (!responseBody.equals(expected)
                || !responseHead.contains("vanilladoor-attempt-id: " + attempt)) {
            mLedger.recordViolation(
                    attempt
                            + " got the response of another request: "
                            + responseHead
                            + responseBody);
        }
    }

    private static String readHead(InputStream input) throws IOException {
        StringBuilder responseHead = new StringBuilder();
        while (responseHead.indexOf("\r\n\r\n") < 0) {
            responseHead.append((char) readByte(input));
        }
        return responseHead.toString().toLowerCase(Locale.ROOT);
    }

    private static String readBody(InputStream input, String responseHead) throws IOException {
        if (!responseHead.contains("transfer-encoding: chunked")) {
            int headerIndex = responseHead.indexOf("content-length: ");
            int length =
                    headerIndex < 0
                            ? 0
                            : Integer.parseInt(
                                    responseHead.substring(
                                            headerIndex + 16,
                                            responseHead.indexOf('\r', headerIndex)));
            return readText(input, length);
        }
        StringBuilder responseBody = new StringBuilder();
        int size = readChunkSize(input);
        while (size > 0) {
            responseBody.append(readText(input, size));
            readText(input, 2);
            size = readChunkSize(input);
        }
        readText(input, 2);
        return responseBody.toString();
    }

    private static int readChunkSize(InputStream input) throws IOException {
        StringBuilder line = new StringBuilder();
        while (line.indexOf("\r\n") < 0) {
            line.append((char) readByte(input));
        }
        return Integer.parseInt(line.toString().strip(), 16);
    }

    private static String readText(InputStream input, int length) throws IOException {
        byte[] bytes = input.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("response ended early");
        }
        return new String(bytes, StandardCharsets.US_ASCII);
    }

    private static int readByte(InputStream input) throws IOException {
        int value = input.read();
        if (value < 0) {
            throw new EOFException("response ended early");
        }
        return value;
    }
}
