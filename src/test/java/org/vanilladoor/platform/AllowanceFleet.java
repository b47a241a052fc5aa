package org.vanilladoor.platform;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.common.Json;

/**
 * VMs, a store and an endpoint for the tests of allowances.
 *
 * <p>The endpoint records which requests it has run. Confined to the test's thread, except the
 * endpoint's script.
 */
final class AllowanceFleet implements AutoCloseable {
    static final String KEY = "key-1";
    static final String TEAM = "team-1";

    /** The bound's window and excess, which are the defaults. */
    static final long WINDOW_MILLIS = 8_000;

    private static final double EXCESS = 0.1;
    private static final Path DIRECTORY = Path.of("target", "allowance");
    private static final AtomicInteger FLEETS = new AtomicInteger();
    private static final int USAGE_WINDOW_SECONDS = 5;
    private final SoakPlatform mPlatform;
    private final List<SoakVm> mVms = new ArrayList<>();
    private final List<FaultyLink> mExchangeLinks = new ArrayList<>();
    private final ScriptedEndpoint mEndpoint;
    private final Map<String, Integer> mRuns = new ConcurrentHashMap<>();
    private final AtomicInteger mNextVm = new AtomicInteger();
    private int mVersion = 1;

    private AllowanceFleet(int vmCount, String allowance) throws IOException {
        Files.createDirectories(DIRECTORY);
        mPlatform = SoakPlatform.start(new SoakLedger());
        mEndpoint =
                ScriptedEndpoint.start(
                        received -> {
                            mRuns.merge(received.header("vanilladoor-attempt-id"), 1, Integer::sum);
                            return ScriptedEndpoint.response(received, 200, "", "done");
                        });
        register();
        configure(allowance);
        String host = "127.60." + (100 + ProcessHandle.current().pid() % 100) + ".";
        int first = 1 + 20 * FLEETS.getAndIncrement();
        for (int i = 0; i < vmCount; i++) {
            FaultyLink exchangeLink =
                    FaultyLink.start(() -> mPlatform.exchangeAddress().orElseThrow());
            HostPort view = mPlatform.addView(exchangeLink::address);
            FaultyLink link = FaultyLink.start(() -> view);
            mExchangeLinks.add(exchangeLink);
            String name = "vm-" + (first + i);
            mVms.add(SoakVm.start(name, host + (first + i), link, DIRECTORY, USAGE_WINDOW_SECONDS));
        }
    }

    /**
     * Starts VMs.
     *
     * @param allowance fields of the team's entry, in JSON
     */
    static AllowanceFleet start(int vmCount, String allowance) throws IOException {
        return new AllowanceFleet(vmCount, allowance);
    }

    /** Returns the most that may run of the requests sent in any window. */
    static double bound(double rate, double burst) {
        return (rate * WINDOW_MILLIS / 1_000 + burst) * (1 + EXCESS);
    }

    SoakPlatform platform() {
        return mPlatform;
    }

    List<SoakVm> vms() {
        return mVms;
    }

    /** Returns the link of a VM to the lease holder, whichever VM that is. */
    FaultyLink exchangeLink(SoakVm vm) {
        return mExchangeLinks.get(mVms.indexOf(vm));
    }

    /** Returns the addresses of the VMs in turn. */
    HostPort nextVm() {
        return mVms.get(Math.floorMod(mNextVm.getAndIncrement(), mVms.size())).callerAddress();
    }

    /** Puts a configuration with another allowance of the team in the store. */
    void configure(String allowance) {
        ObjectNode spec = Json.newObject();
        spec.put("version", mVersion++);
        spec.withArray("routes")
                .addObject()
                .put("name", "safe")
                .put("host", "soak")
                .put("prefix", "/safe/")
                .put("service", "app")
                .put("type", "safe")
                .put("attempts", 2)
                .put("timeout_ms", 2_000)
                .put("slo_ms", 200);
        spec.withArray("services").addObject().put("name", "app").put("max_conns", 500);
        ObjectNode team =
                Json.read(
                        ("{" + allowance + "}").getBytes(java.nio.charset.StandardCharsets.UTF_8),
                        ObjectNode.class);
        team.put("name", TEAM).putArray("api_keys").add(KEY);
        spec.withArray("tenants").add(team);
        mPlatform.put("config", "main", spec);
    }

    /** Waits until the VM serves requests. */
    void awaitServing() throws InterruptedException {
        long endMillis = System.currentTimeMillis() + 30_000;
        for (SoakVm vm : mVms) {
            while (!isServing(vm) && System.currentTimeMillis() < endMillis) {
                Thread.sleep(50);
            }
        }
    }

    /** Waits until all VMs have counted each other and get advances, which takes some seconds. */
    void awaitExchange() throws IOException, InterruptedException {
        awaitServing();
        long endMillis = System.currentTimeMillis() + 40_000;
        while (System.currentTimeMillis() < endMillis) {
            int answered = 0;
            for (SoakVm vm : mVms) {
                String log = log(vm);
                answered += log.contains("holder.answers") || log.contains("ledger.begun") ? 1 : 0;
            }
            if (answered == mVms.size()) {
                // The holder counts all VMs once each has reported; shares are lent after that.
                Thread.sleep(6_000);
                return;
            }
            Thread.sleep(100);
        }
        throw new AssertionError("not all VMs have a holder");
    }

    /** Returns the log of a VM. */
    static String log(SoakVm vm) throws IOException {
        return Files.readString(DIRECTORY.resolve(vm.name() + ".log"));
    }

    /** Returns what the VMs logged of the exchange and of delays of their processes, in order. */
    String exchangeEvents() throws IOException {
        List<String> events = new ArrayList<>();
        for (SoakVm vm : mVms) {
            log(vm).lines()
                    .filter(
                            line ->
                                    line.contains("part=exchange")
                                            || line.contains("event=delayed"))
                    .forEach(line -> events.add(line + " vm=" + vm.name()));
        }
        // Each line begins with its time, of the same length in all of them.
        return events.stream().sorted().collect(Collectors.joining("\n"));
    }

    /** Returns the VM whose ledger was begun last, if one was. */
    Optional<SoakVm> holder() throws IOException {
        SoakVm latest = null;
        String latestTime = "";
        for (SoakVm vm : mVms) {
            for (String line : log(vm).lines().toList()) {
                boolean isLater = line.contains("ledger.begun") && line.compareTo(latestTime) > 0;
                if (isLater && vm.isRunning()) {
                    latest = vm;
                    latestTime = line;
                }
            }
        }
        return Optional.ofNullable(latest);
    }

    /** Returns the highest number of requests sent in any window that have run. */
    long mostRunInAWindow(List<PacedCallers.Sent> sent) {
        List<Long> times =
                sent.stream()
                        .filter(each -> mRuns.containsKey(each.attempt()))
                        .map(PacedCallers.Sent::atMillis)
                        .sorted()
                        .toList();
        int most = 0;
        int from = 0;
        for (int to = 0; to < times.size(); to++) {
            while (times.get(to) - times.get(from) >= WINDOW_MILLIS) {
                from++;
            }
            most = Math.max(most, to - from + 1);
        }
        return most;
    }

    /** Returns whether the endpoint has run a request. */
    boolean hasRun(String attempt) {
        return mRuns.containsKey(attempt);
    }

    @Override
    public void close() throws IOException {
        for (SoakVm vm : mVms) {
            vm.close();
        }
        for (FaultyLink link : mExchangeLinks) {
            link.close();
        }
        mEndpoint.close();
        mPlatform.close();
    }

    private void register() {
        ObjectNode spec = Json.newObject();
        spec.put("service", "app");
        spec.put("addr", mEndpoint.address().toString());
        spec.put("zone", "a");
        spec.put("slots", 400);
        spec.put("state", "ready");
        spec.put("born", 1_000);
        mPlatform.put("servers", "i-0", spec);
    }

    private static boolean isServing(SoakVm vm) {
        try (CallerConnection connection = CallerConnection.open(vm.callerAddress(), 1_000)) {
            CallerConnection.Response response =
                    connection.exchange("GET /none HTTP/1.1\r\nHost: none\r\n\r\n");
            return response.status() > 0;
        } catch (IOException e) {
            return false;
        }
    }
}
