package org.vanilladoor.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.io.ByteArrayOutputStream;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpStatus;
import org.vanilladoor.common.ControlLoop;
import org.vanilladoor.common.HostPort;
import org.vanilladoor.common.Json;
import org.vanilladoor.common.MemoryBudget;
import org.vanilladoor.common.SendPermit;
import org.vanilladoor.provider.CallRejectedException;
import org.vanilladoor.provider.NoResponseException;
import org.vanilladoor.provider.StoreUnavailableException;
import org.vanilladoor.transport.CallFailure;
import org.vanilladoor.transport.ConnectionPool;
import org.vanilladoor.transport.ConnectionUse;
import org.vanilladoor.transport.OutgoingCall;
import org.vanilladoor.transport.OutgoingListener;

/**
 * Makes this system's own calls to the platform and to endpoints, as opposed to calls that forward
 * a caller's request. Bodies are JSON.
 *
 * <p>Invariants: no call is retried; a call without a valid response in time fails with {@link
 * StoreUnavailableException}, and its connection is closed, since it can't be used for another
 * call. A response with the identifier of a caller's attempt is not valid: an endpoint may send the
 * response to a forwarded request again, when this system has since reused the connection. What a
 * response takes is charged to the memory of all messages, and its tree is bounded; a failure of
 * any kind while it is handled, such as a lack of memory, ends just that call. Methods may be
 * called by any thread; futures complete on the control thread.
 */
final class PlatformCalls {
    private static final long CONNECT_TIMEOUT_MILLIS = 500;

    /** Maximum size of what is kept of a response; a page of objects has about 1 MB. */
    private static final int MAXIMUM_RESPONSE_BYTES = 8 * 1024 * 1024;

    /** Maximum size of an entry; the store's limit for an object is half of it. */
    private static final int MAXIMUM_VALUE_BYTES = 2 * 1024 * 1024;

    /** Maximum size of a response without entries; reports of engines have some hundred bytes. */
    private static final int MAXIMUM_WHOLE_RESPONSE_BYTES = 256 * 1024;

    /** Maximum memory of a decoded entry; a configuration of 1 MB takes about 12 MB. */
    private static final int MAXIMUM_DECODED_BYTES = 32 * 1024 * 1024;

    /** Memory that an entry takes besides its content. */
    private static final int ENTRY_BYTES = 64;

    /** Maximum number of characters of a response that a message contains. */
    private static final int MAXIMUM_QUOTED_CHARACTERS = 200;

    private final ControlLoop mControl;
    private final ConnectionPool mConnections;

    private PlatformCalls(ControlLoop control, ConnectionPool connections) {
        mControl = control;
        mConnections = connections;
    }

    static PlatformCalls create(ControlLoop control, ConnectionPool connections) {
        return new PlatformCalls(control, connections);
    }

    /**
     * Sends a request.
     *
     * @param address address of the peer
     * @param use connections that may carry the call
     * @param body content to be sent as JSON, if any
     * @param timeoutMillis time-out for the complete response, including connecting
     */
    CompletableFuture<Response> send(
            HostPort address,
            ConnectionUse use,
            HttpRequest request,
            Optional<Object> body,
            long timeoutMillis) {
        return send(address, use, request, body, timeoutMillis, SendPermit.UNLIMITED);
    }

    /**
     * Sends a request within a permit. The call is ended, and its connection reset, when the permit
     * is over or revoked.
     *
     * @see #send(HostPort, ConnectionUse, HttpRequest, Optional, long)
     */
    CompletableFuture<Response> send(
            HostPort address,
            ConnectionUse use,
            HttpRequest request,
            Optional<Object> body,
            long timeoutMillis,
            SendPermit permit) {
        return send(address, use, request, body, timeoutMillis, permit, new WholeContent());
    }

    /**
     * Sends a request within a permit, whose response may contain content of other writers. What
     * can't be decoded, or is too large, is left out of the response; the rest is not affected.
     *
     * @param content what is kept of the response
     * @see #send(HostPort, ConnectionUse, HttpRequest, Optional, long, SendPermit)
     */
    CompletableFuture<Response> sendForEntries(
            HostPort address,
            ConnectionUse use,
            HttpRequest request,
            Optional<Object> body,
            long timeoutMillis,
            ContentSelection content,
            SendPermit permit) {
        return send(address, use, request, body, timeoutMillis, permit, new SplitContent(content));
    }

    private CompletableFuture<Response> send(
            HostPort address,
            ConnectionUse use,
            HttpRequest request,
            Optional<Object> body,
            long timeoutMillis,
            SendPermit permit,
            ResponseContent responseContent) {
        CompletableFuture<Response> result = new CompletableFuture<>();
        String description = request.getMethod() + " " + request.getRequestUri();
        if (!request.containsHeader(HttpHeaders.HOST)) {
            request.addHeader(HttpHeaders.HOST, address.toString());
        }
        body.ifPresent(content -> request.addHeader(HttpHeaders.CONTENT_TYPE, "application/json"));
        byte[] bodyBytes = body.map(Json::write).orElse(new byte[0]);
        mControl.execute(
                () -> {
                    ResponseCollector collector =
                            new ResponseCollector(
                                    description, responseContent, openAccount(), result);
                    OutgoingCall call =
                            mConnections.send(
                                    address,
                                    use,
                                    CONNECT_TIMEOUT_MILLIS,
                                    request,
                                    bodyBytes,
                                    permit,
                                    collector);
                    collector.mCall = call;
                    ControlLoop.Timer timeLimit =
                            mControl.schedule(
                                    Duration.ofMillis(
                                            Math.min(timeoutMillis, permit.remainingMillis())),
                                    () -> abandon(call, result, "no response to " + description));
                    permit.onRevoked(
                            () ->
                                    mControl.execute(
                                            () ->
                                                    abandon(
                                                            call,
                                                            result,
                                                            description + " was revoked")));
                    result.whenComplete((response, failure) -> timeLimit.cancel());
                });
        return result;
    }

    /** Opens an account for what is kept of several responses. */
    MemoryBudget.Account openAccount() {
        return mConnections.openAccount(MemoryBudget.Use.CONTROL_RESPONSE);
    }

    private static void abandon(
            OutgoingCall call, CompletableFuture<Response> result, String reason) {
        if (!result.isDone()) {
            call.abandon();
            result.completeExceptionally(new NoResponseException(reason, call.isSent()));
        }
    }

    /**
     * What is kept of a response with content of other writers.
     *
     * @param listFields names of the fields of the response that are lists
     * @param entry what is kept of each entry of the lists
     * @param body what is kept of the other fields of a successful response
     * @param maximumBytes size from which on the response is not read any further, whatever is kept
     *     of it
     */
    record ContentSelection(
            Set<String> listFields, JsonSelection entry, JsonSelection body, long maximumBytes) {}

    /**
     * A complete response.
     *
     * @param description method and path of the call, for messages
     * @param status HTTP status
     * @param storeEra value of the header that states the store's era, if there is one
     * @param body decoded body; an empty object if the response had none, a missing node if it was
     *     not JSON
     * @param entries entries of the lists that were asked for, in order; they are not in the body
     */
    record Response(
            String description,
            int status,
            Optional<String> storeEra,
            JsonNode body,
            List<StoreEntry> entries) {
        /**
         * Returns the body of a successful response.
         *
         * @throws StoreUnavailableException if the status is 300 or above
         */
        JsonNode requireSuccess() {
            if (status >= HttpStatus.SC_REDIRECTION) {
                String text = body.toString();
                String quoted =
                        text.substring(0, Math.min(text.length(), MAXIMUM_QUOTED_CHARACTERS));
                throw new CallRejectedException(
                        description + " failed with status " + status + " " + quoted);
            }
            return body;
        }

        /**
         * Returns the body of a successful response that has to contain a field with a whole
         * number.
         *
         * @throws StoreUnavailableException if the status is 300 or above
         * @throws UnreadableResponseException if the field is missing
         */
        JsonNode requireNumber(String field) {
            if (!requireSuccess().path(field).canConvertToLong()) {
                throw new UnreadableResponseException(
                        description + ": the response has no number " + field);
            }
            return body;
        }
    }

    /** Collects a response. Confined to the control thread. */
    private static final class ResponseCollector implements OutgoingListener {
        private final String mDescription;
        private final CompletableFuture<Response> mResult;
        private final ResponseContent mContent;
        private final MemoryBudget.Account mAccount;
        private OutgoingCall mCall;
        private int mStatus;
        private Optional<String> mStoreEra = Optional.empty();

        ResponseCollector(
                String description,
                ResponseContent content,
                MemoryBudget.Account account,
                CompletableFuture<Response> result) {
            mDescription = description;
            mContent = content;
            mAccount = account;
            mResult = result;
            result.whenComplete((response, failure) -> account.close());
        }

        @Override
        public void onHead(HttpResponse head) {
            mStatus = head.getCode();
            // Two different values make none that can be read.
            mStoreEra =
                    Arrays.stream(head.getHeaders(Headers.STORE_ERA))
                            .map(Header::getValue)
                            .distinct()
                            .reduce((first, second) -> first + ", " + second);
            if (head.containsHeader(Headers.ATTEMPT_IDENTIFIER)) {
                reject("the response belongs to a caller's request");
            }
        }

        @Override
        public void onData(byte[] bytes) {
            try {
                mContent.write(bytes);
                // Callers' messages give way to these calls, which are few.
                mAccount.resize(mContent.size());
                if (mContent.size() > mContent.maximumSize()) {
                    reject("the response is larger than " + mContent.maximumSize() + " bytes");
                }
            } catch (RuntimeException | Error e) {
                reject("the response can't be read: " + e);
            }
        }

        private void reject(String reason) {
            mCall.abandon();
            mResult.completeExceptionally(
                    new UnreadableResponseException(mDescription + ": " + reason));
        }

        @Override
        public void onComplete() {
            Response response;
            try {
                response =
                        new Response(
                                mDescription,
                                mStatus,
                                mStoreEra,
                                mContent.decodeBody(mStatus),
                                mContent.entries());
            } catch (RuntimeException | Error e) {
                reject("the response can't be decoded: " + e);
                return;
            }
            mResult.complete(response);
        }

        @Override
        public void onFailure(CallFailure failure) {
            mResult.completeExceptionally(
                    new NoResponseException(
                            mDescription + ": " + failure.reason(), failure.mayHaveBeenSent()));
        }
    }

    /** The content of a response while it arrives. Confined to the control thread. */
    private interface ResponseContent {
        void write(byte[] bytes);

        /** Returns the memory that the content takes, in bytes. */
        int size();

        /** Returns the size from which on the response is not read any further. */
        int maximumSize();

        JsonNode decodeBody(int status);

        List<StoreEntry> entries();
    }

    /** Content that is decoded as a whole. */
    private static final class WholeContent implements ResponseContent {
        private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();

        @Override
        public void write(byte[] bytes) {
            mBody.writeBytes(bytes);
        }

        @Override
        public int size() {
            return mBody.size();
        }

        @Override
        public int maximumSize() {
            return MAXIMUM_WHOLE_RESPONSE_BYTES;
        }

        @Override
        public JsonNode decodeBody(int status) {
            if (mBody.size() == 0) {
                return Json.newObject();
            }
            try {
                return Json.read(mBody.toByteArray(), JsonNode.class);
            } catch (UncheckedIOException e) {
                // The bodies of error responses may be plain text.
                return JsonNodeFactory.instance.missingNode();
            }
        }

        @Override
        public List<StoreEntry> entries() {
            return List.of();
        }
    }

    /** Content of which each field, and each entry as it arrives, is decoded by itself. */
    private static final class SplitContent implements ResponseContent {
        private final ContentSelection mSelection;
        private final JsonSplitter mSplitter;
        private final BoundedJsonDecoder mDecoder =
                BoundedJsonDecoder.create(MAXIMUM_DECODED_BYTES);
        private final List<StoreEntry> mEntries = new ArrayList<>();
        private int mEntryBytes;
        private long mReceivedBytes;

        SplitContent(ContentSelection selection) {
            mSelection = selection;
            mSplitter =
                    JsonSplitter.create(
                            selection.listFields(), MAXIMUM_VALUE_BYTES, this::addEntry);
        }

        private void addEntry(byte[] json) {
            StoreEntry entry = StoreEntry.decode(json, mSelection.entry(), mDecoder);
            mEntries.add(entry);
            mEntryBytes += entry.bytes() + ENTRY_BYTES;
        }

        @Override
        public void write(byte[] bytes) {
            mReceivedBytes += bytes.length;
            if (mReceivedBytes > mSelection.maximumBytes()) {
                throw new IllegalArgumentException(
                        "it has more than " + mSelection.maximumBytes() + " bytes");
            }
            mSplitter.write(bytes);
        }

        @Override
        public int size() {
            return mSplitter.size() + mEntryBytes;
        }

        @Override
        public int maximumSize() {
            return MAXIMUM_RESPONSE_BYTES;
        }

        @Override
        public JsonNode decodeBody(int status) {
            if (mReceivedBytes > 0 && !mSplitter.isComplete()) {
                return JsonNodeFactory.instance.missingNode();
            }
            // The body of an error response is for its message.
            JsonSelection selection =
                    status < HttpStatus.SC_REDIRECTION
                            ? mSelection.body()
                            : JsonSelection.EVERYTHING;
            return StoreEntry.ofFields(mSplitter.fields(), selection, mDecoder).content();
        }

        @Override
        public List<StoreEntry> entries() {
            return List.copyOf(mEntries);
        }
    }
}
