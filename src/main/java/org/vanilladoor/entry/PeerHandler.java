package org.vanilladoor.entry;

import java.nio.ByteBuffer;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletionException;
import org.vanilladoor.common.Digests;
import org.vanilladoor.common.Json;
import org.vanilladoor.configuration.ActiveConfiguration;
import org.vanilladoor.generated.CounterBatch;
import org.vanilladoor.generated.DrainReply;
import org.vanilladoor.generated.DrainRequest;
import org.vanilladoor.generated.Exchange;
import org.vanilladoor.generated.Peer;
import org.vanilladoor.generated.PeerRefusal;
import org.vanilladoor.generated.StopOrdersReply;
import org.vanilladoor.generated.StopOrdersRequest;

/**
 * Handles the calls of other entries.
 *
 * <p>Invariant: a call without the system credential is refused. Called by the threads of the peer
 * server; safe for use by any thread except the control thread.
 */
final class PeerHandler implements Peer.Iface {
    private final EntryContext mContext;
    private final PeerGossip mGossip;
    private final ActiveConfiguration mConfiguration;
    private final OrderStopper mOrderStopper;

    private PeerHandler(
            EntryContext context,
            PeerGossip gossip,
            ActiveConfiguration configuration,
            OrderStopper orderStopper) {
        mContext = context;
        mGossip = gossip;
        mConfiguration = configuration;
        mOrderStopper = orderStopper;
    }

    static PeerHandler create(
            EntryContext context,
            PeerGossip gossip,
            ActiveConfiguration configuration,
            OrderStopper orderStopper) {
        return new PeerHandler(context, gossip, configuration, orderStopper);
    }

    @Override
    public Exchange exchange(Exchange request) throws PeerRefusal {
        checkCredential(request.getCredential());
        return callOnControlThread(() -> mGossip.handleExchange(request));
    }

    @Override
    public ByteBuffer fetchHead(String credential) throws PeerRefusal {
        checkCredential(credential);
        return ByteBuffer.wrap(Json.write(mConfiguration.current().head()));
    }

    @Override
    public ByteBuffer fetchPart(String credential, String digest) throws PeerRefusal {
        checkCredential(credential);
        byte[] part = mConfiguration.current().partsByDigest().get(digest);
        if (part == null) {
            throw new PeerRefusal(
                    "no part with this digest in the configuration in force: " + digest);
        }
        return ByteBuffer.wrap(part);
    }

    @Override
    public void putCounters(CounterBatch batch) throws PeerRefusal {
        checkCredential(batch.getCredential());
        try {
            PeerMessages.mergeCounters(batch, mContext.usageCounters());
        } catch (IllegalArgumentException e) {
            throw new PeerRefusal(e.getMessage());
        }
    }

    @Override
    public CounterBatch readCounters(String credential) throws PeerRefusal {
        checkCredential(credential);
        return PeerMessages.toCounterBatch("", mContext.usageCounters().snapshot());
    }

    @Override
    public DrainReply drain(DrainRequest request) throws PeerRefusal {
        checkCredential(request.getCredential());
        return callOnControlThread(
                () -> {
                    String endpoint = request.getEndpoint();
                    boolean accepted =
                            mContext.drainRegistry()
                                    .setDrained(endpoint, request.getTerm(), request.isDrained());
                    return new DrainReply(accepted, mContext.drainRegistry().ownRequests(endpoint));
                });
    }

    @Override
    public StopOrdersReply stopOrders(StopOrdersRequest request) throws PeerRefusal {
        checkCredential(request.getCredential());
        return callOnControlThread(
                () ->
                        new StopOrdersReply(
                                mOrderStopper.stopSending(
                                        request.getScope(),
                                        request.getIncarnation(),
                                        request.getTerm())));
    }

    private void checkCredential(String credential) throws PeerRefusal {
        if (credential == null
                || !Digests.constantTimeEquals(
                        credential, mContext.settings().systemCredential())) {
            throw new PeerRefusal("system credential is missing or wrong");
        }
    }

    private <T> T callOnControlThread(Callable<T> call) throws PeerRefusal {
        try {
            return mContext.control().submit(call).join();
        } catch (CompletionException e) {
            throw new PeerRefusal(String.valueOf(e.getCause().getMessage()));
        }
    }

    /** Stops sending orders that this process has written but not sent. */
    @FunctionalInterface
    interface OrderStopper {
        /**
         * Stops sending the orders of a scope that were written in terms up to the given one.
         *
         * @param incarnation writer name of the process that wrote the orders
         * @return whether that is this process and it has sent none of the unsettled orders and
         *     will send none
         */
        boolean stopSending(String scope, String incarnation, long term);
    }
}
