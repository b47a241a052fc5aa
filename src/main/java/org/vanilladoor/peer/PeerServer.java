package org.vanilladoor.peer;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.ExecutorService;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.server.TThreadPoolServer;
import org.apache.thrift.transport.TServerSocket;
import org.apache.thrift.transport.TTransportException;
import org.apache.thrift.transport.layered.TFramedTransport;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.common.ThreadPools;
import org.vanilladoor.generated.Peer;

/**
 * Serves the calls of other entries over Thrift, with one thread per connection.
 *
 * <p>The size of messages is limited. All methods may be called by any thread.
 */
public final class PeerServer implements AutoCloseable {
    private static final int ACCEPT_BACKLOG = 512;
    private static final int READ_TIMEOUT_MILLIS = 60_000;
    private static final int STOP_TIMEOUT_SECONDS = 1;
    private final TThreadPoolServer mServer;
    private final ExecutorService mExecutor;
    private final HostPort mAddress;

    private PeerServer(TThreadPoolServer server, ExecutorService executor, HostPort address) {
        mServer = server;
        mExecutor = executor;
        mAddress = address;
    }

    /**
     * Starts a server.
     *
     * @param address address to listen on; port 0 selects a free port
     * @param service handles the calls
     * @throws IOException if the address can't be bound
     */
    public static PeerServer start(HostPort address, Peer.Iface service) throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(
                new InetSocketAddress(InetAddress.getByName(address.host()), address.port()),
                ACCEPT_BACKLOG);
        try {
            ExecutorService executor = ThreadPools.newDaemonThreadPool("peer");
            TThreadPoolServer server =
                    new TThreadPoolServer(
                            new TThreadPoolServer.Args(
                                            new TServerSocket(socket, READ_TIMEOUT_MILLIS))
                                    .processor(new Peer.Processor<>(service))
                                    .transportFactory(
                                            new TFramedTransport.Factory(
                                                    PeerClient.MAXIMUM_MESSAGE_BYTES))
                                    .protocolFactory(
                                            new TCompactProtocol.Factory(
                                                    PeerClient.MAXIMUM_MESSAGE_BYTES,
                                                    PeerClient.MAXIMUM_MESSAGE_BYTES))
                                    .stopTimeoutVal(STOP_TIMEOUT_SECONDS)
                                    .executorService(executor));
            executor.execute(server::serve);
            return new PeerServer(
                    server, executor, new HostPort(address.host(), socket.getLocalPort()));
        } catch (TTransportException e) {
            socket.close();
            throw new IOException("can't serve peers on " + address, e);
        }
    }

    /** Returns the address that peers connect to, with the port in use. */
    public HostPort address() {
        return mAddress;
    }

    @Override
    public void close() {
        mServer.stop();
        mExecutor.shutdownNow();
    }
}
