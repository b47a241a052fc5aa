package org.vanilladoor.platform;

/**
 * Names of the HTTP headers of the operators' platform.
 *
 * <p>Not instantiable.
 */
final class Headers {
    /** Identifier of one attempt of a caller; a response states it as well. */
    static final String ATTEMPT_IDENTIFIER = "Vanilladoor-Attempt-Id";

    /** Remaining time for which the caller waits for the response, in milliseconds. */
    static final String CALLER_TIMEOUT = "Vanilladoor-Deadline-Ms";

    /** API key of the caller's team. */
    static final String API_KEY = "Vanilladoor-Key";

    /** Identifier of the last event that the caller received, to resume a stream. */
    static final String LAST_EVENT_IDENTIFIER = "Last-Event-Id";

    /** Identifier of the attempt that brought the first event of the stream to resume. */
    static final String RESUMED_STREAM = "Resumes";

    /** Name of the model that a prompt is meant for. */
    static final String MODEL = "Vanilladoor-Model";

    /** Number of prompt tokens and maximum number of output tokens, separated by a comma. */
    static final String TOKEN_COUNTS = "Vanilladoor-Token-Count";

    /** Caller's estimate of the number of output tokens, which may be far off. */
    static final String LENGTH_HINT = "Vanilladoor-Length-Hint";

    /** Parts of the prompt, each as {@code identifier:tokens}, separated by commas. */
    static final String PROMPT_PARTS = "Vanilladoor-Prompt-Prefix";

    /** Endpoint's signature, which shows that the request ran; not a time stamp. */
    static final String SIGNATURE = "Vanilladoor-Stamp";

    /** States that the endpoint has not run the request. */
    static final String NOT_RUN = "Vanilladoor-Not-Run";

    /** Endpoint's running requests, waiting requests and slots, separated by commas. */
    static final String LOAD = "Vanilladoor-Load";

    /** Number of requests per second that the endpoint takes from all VMs together at present. */
    static final String REQUEST_LIMIT = "Server-Limit";

    /** States that the endpoint is leaving. */
    static final String LEAVING = "Server-Leaving";

    /** Name of the intended endpoint; another one at its address rejects the request. */
    static final String EXPECTED_ENDPOINT = "Vanilladoor-Expect-Instance";

    /** Name of the caller's team, which the platform calls a tenant. */
    static final String TEAM = "Vanilladoor-Tenant";

    /** Stage of the request that an engine is to run, if it is not to run all of it. */
    static final String STAGE = "Vanilladoor-Stage";

    /** Engine and handle of the KV cache to fetch, as {@code address/handle}. */
    static final String KV_CACHE_SOURCE = "Vanilladoor-Kv-From";

    /** Scheduling priority at the engine, from 0 (first) to 9 (last). */
    static final String URGENCY = "Vanilladoor-Request-Urgency";

    /** Name of the lease holder's VM. */
    static final String HOLDER = "Vanilladoor-Holder";

    /** Term of the lease, which the platform calls a fence. */
    static final String TERM = "Vanilladoor-Fence";

    /** Era of the store, which rises when the store returns from an older copy. */
    static final String STORE_ERA = "Store-Era";

    static final String RETRY_AFTER = "Retry-After";

    private Headers() {}
}
