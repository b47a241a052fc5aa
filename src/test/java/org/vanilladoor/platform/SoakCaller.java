package org.vanilladoor.platform;

import java.io.IOException;
import java.util.List;
import java.util.SplittableRandom;

/**
 * A caller that sends requests one after the other and reuses its connection while possible.
 *
 * <p>Runs on its own thread.
 */
final class SoakCaller implements Runnable {
    private static final int READ_TIMEOUT_MILLIS = 4_000;
    private static final long PAUSE_MILLIS = 5;
    private final String mName;
    private final SoakLedger mLedger;
    private final List<SoakVm> mVms;
    private final SplittableRandom mRandom;
    private volatile boolean mStopped;
    private CallerConnection mConnection;
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
                if (mConnection.hasUnexpectedBytes()) {
                    mLedger.recordViolation("bytes arrived before " + attempt + " was sent");
                }
                mLedger.recordSent(attempt, route, key, System.currentTimeMillis());
                mLedger.recordReceived(attempt, mConnection.exchange(request(attempt, route, key)));
            } catch (IOException e) {
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
        if (mConnection != null && mConnection.isUsable() && mRandom.nextInt(20) > 0) {
            return;
        }
        disconnect();
        SoakVm vm = mVms.get(mRandom.nextInt(mVms.size()));
        mConnection = CallerConnection.open(vm.callerAddress(), READ_TIMEOUT_MILLIS);
    }

    private void disconnect() {
        try {
            if (mConnection != null) {
                mConnection.close();
            }
        } catch (IOException e) {
            // The connection is unusable even if closing it fails.
            mConnection = null;
        }
        mConnection = null;
    }

    private static String request(String attempt, SoakRoute route, String key) {
        return "POST "
                + route.prefix()
                + "x HTTP/1.1\r\nHost: soak\r\nVanilladoor-Attempt-Id: "
                + attempt
                + "\r\nVanilladoor-Deadline-Ms: 3000\r\nVanilladoor-Tenant: forged\r\n"
                + "Vanilladoor-Key: "
                + key
                + "\r\nContent-Length: 4\r\n\r\nbody";
    }
}
