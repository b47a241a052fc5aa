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
 * Answers the calls of other entries.
 *
 * <p>Invariant: nothing is answered to a peer without the system's credential. Called by the
 * traffic threads of the peer server.
 */
final class PeerHandler implements Peer.Iface {
    private final EntryContext mContext;
    private final PeerNetwork mNetwork;
    private final ActiveConfiguration mConfiguration;
    private final OrderStop mOrderStop;

    private PeerHandler(
            EntryContext context,
            PeerNetwork network,
            ActiveConfiguration configuration,
            OrderStop orderStop) {
        mContext = context;
        mNetwork = network;
        mConfiguration = configuration;
        mOrderStop = orderStop;
    }

    static PeerHandler create(
            EntryContext context,
            PeerNetwork network,
            ActiveConfiguration configuration,
            OrderStop orderStop) {
        return new PeerHandler(context, network, configuration, orderStop);
    }

    @Override
    public Exchange exchange(Exchange request) throws PeerRefusal {
        check(request.getCredential());
        return onControl(() -> mNetwork.answer(request));
    }

    @Override
    public ByteBuffer fetchHead(String credential) throws PeerRefusal {
        check(credential);
        return ByteBuffer.wrap(Json.write(mConfiguration.current().head()));
    }

    @Override
    public ByteBuffer fetchPart(String credential, String digest) throws PeerRefusal {
        check(credential);
        byte[] part = mConfiguration.current().partsByDigest().get(digest);
        if (part == null) {
            throw new PeerRefusal("part is not in force here: " + digest);
        }
        return ByteBuffer.wrap(part);
    }

    @Override
    public void putCounters(CounterBatch batch) throws PeerRefusal {
        check(batch.getCredential());
        try {
            PeerMessages.merge(batch, mContext.counters());
        } catch (IllegalArgumentException e) {
            throw new PeerRefusal(e.getMessage());
        }
    }

    @Override
    public CounterBatch readCounters(String credential) throws PeerRefusal {
        check(credential);
        return PeerMessages.batch("", mContext.counters().snapshot());
    }

    @Override
    public DrainReply drain(DrainRequest request) throws PeerRefusal {
        check(request.getCredential());
        return onControl(
                () -> {
                    String endpoint = request.getEndpoint();
                    boolean accepted =
                            mContext.drains()
                                    .setDrained(endpoint, request.getTerm(), request.isDrained());
                    return new DrainReply(accepted, mContext.drains().ownRequests(endpoint));
                });
    }

    @Override
    public StopOrdersReply stopOrders(StopOrdersRequest request) throws PeerRefusal {
        check(request.getCredential());
        return onControl(
                () ->
                        new StopOrdersReply(
                                mOrderStop.stop(
                                        request.getScope(),
                                        request.getIncarnation(),
                                        request.getTerm())));
    }

    private void check(String credential) throws PeerRefusal {
        if (credential == null
                || !Digests.constantTimeEquals(
                        credential, mContext.settings().systemCredential())) {
            throw new PeerRefusal("the credential is not the system's");
        }
    }

    private <T> T onControl(Callable<T> answer) throws PeerRefusal {
        try {
            return mContext.control().submit(answer).join();
        } catch (CompletionException e) {
            throw new PeerRefusal(String.valueOf(e.getCause().getMessage()));
        }
    }

    /** Gives up orders that this process wrote but has not sent. */
    @FunctionalInterface
    interface OrderStop {
        /**
         * Stops sending the orders of a scope that were written under terms up to the given one.
         *
         * @return whether none of them was or will be sent by that incarnation
         */
        boolean stop(String scope, String incarnation, long term);
    }
}
