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
 * Fetches newer configurations from peers, only the parts that changed.
 *
 * <p>Invariant: one fetch at a time. Safe for use by any thread.
 */
final class ConfigurationFetcher {
    private static final Logger LOG = LogManager.getLogger(ConfigurationFetcher.class);
    private final PeerClient mClient;
    private final String mCredential;
    private final ActiveConfiguration mKeeper;
    private final AtomicBoolean mBusy = new AtomicBoolean();

    private ConfigurationFetcher(PeerClient client, String credential, ActiveConfiguration keeper) {
        mClient = client;
        mCredential = credential;
        mKeeper = keeper;
    }

    static ConfigurationFetcher create(
            PeerClient client, String credential, ActiveConfiguration keeper) {
        return new ConfigurationFetcher(client, credential, keeper);
    }

    void fetchFrom(HostPort peer) {
        if (!mBusy.compareAndSet(false, true)) {
            return;
        }
        mClient.call(peer, this::fetch)
                .whenComplete(
                        (configuration, failure) -> {
                            mBusy.set(false);
                            if (failure != null) {
                                LOG.info("configuration: {} could not give it: {}.", peer, failure);
                            } else if (mKeeper.replaceIfNewer(configuration)) {
                                LOG.info(
                                        "configuration: Version {} came from {}.",
                                        configuration.version(),
                                        peer);
                            }
                        });
    }

    private Configuration fetch(Peer.Client client) throws TException {
        ConfigurationHead head =
                Json.read(bytes(client.fetchHead(mCredential)), ConfigurationHead.class);
        Map<String, byte[]> parts = new HashMap<>(mKeeper.current().partsByDigest());
        for (String digest : head.parts().values()) {
            if (!parts.containsKey(digest)) {
                parts.put(digest, bytes(client.fetchPart(mCredential, digest)));
            }
        }
        return Configuration.assemble(head, parts::get);
    }

    private static byte[] bytes(ByteBuffer buffer) {
        byte[] bytes = new byte[buffer.remaining()];
        buffer.get(bytes);
        return bytes;
    }
}
