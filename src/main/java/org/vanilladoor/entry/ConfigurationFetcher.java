package org.vanilladoor.entry;

import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.thrift.TException;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.common.Json;
import org.vanilladoor.configuration.ActiveConfiguration;
import org.vanilladoor.configuration.Configuration;
import org.vanilladoor.configuration.ConfigurationHead;
import org.vanilladoor.generated.Peer;
import org.vanilladoor.peer.PeerClient;

/**
 * Fetches newer configurations from peers, transferring only the parts that changed.
 *
 * <p>Invariant: at most one fetch is in progress. Safe for use by any thread.
 */
final class ConfigurationFetcher {
    private static final Logger LOG = LogManager.getLogger(ConfigurationFetcher.class);
    private final PeerClient mPeerClient;
    private final String mCredential;
    private final ActiveConfiguration mConfiguration;
    private final AtomicBoolean mFetching = new AtomicBoolean();

    private ConfigurationFetcher(
            PeerClient peerClient, String credential, ActiveConfiguration configuration) {
        mPeerClient = peerClient;
        mCredential = credential;
        mConfiguration = configuration;
    }

    static ConfigurationFetcher create(
            PeerClient peerClient, String credential, ActiveConfiguration configuration) {
        return new ConfigurationFetcher(peerClient, credential, configuration);
    }

    /** Starts a fetch from a peer; does nothing if another fetch is in progress. */
    void fetchFrom(HostPort peer) {
        if (!mFetching.compareAndSet(false, true)) {
            return;
        }
        mPeerClient
                .call(peer, this::fetch)
                .whenComplete(
                        (configuration, failure) -> {
                            mFetching.set(false);
                            if (failure != null) {
                                LOG.info(
                                        "configuration: Fetching from {} failed: {}.",
                                        peer,
                                        failure);
                            } else if (mConfiguration.replaceIfNewer(configuration)) {
                                LOG.info(
                                        "configuration: Version {} was fetched from {}.",
                                        configuration.version(),
                                        peer);
                            }
                        });
    }

    private Configuration fetch(Peer.Client client) throws TException {
        ConfigurationHead head =
                Json.read(toByteArray(client.fetchHead(mCredential)), ConfigurationHead.class);
        Map<String, byte[]> parts = new HashMap<>(mConfiguration.current().partsByDigest());
        for (String digest : head.parts().values()) {
            if (!parts.containsKey(digest)) {
                parts.put(digest, toByteArray(client.fetchPart(mCredential, digest)));
            }
        }
        return Configuration.assemble(head, parts::get);
    }

    private static byte[] toByteArray(ByteBuffer buffer) {
        byte[] bytes = new byte[buffer.remaining()];
        buffer.get(bytes);
        return bytes;
    }
}
