package org.vanilladoor.platform;

/**
 * The operators' header names.
 *
 * <p>Constants only.
 */
final class Headers {
    /** Identifier of one attempt of a caller. */
    static final String ATTEMPT = "Vanilladoor-Attempt-Id";

    /** What is left of the caller's patience, in milliseconds. */
    static final String PATIENCE = "Vanilladoor-Deadline-Ms";

    static final String KEY = "Vanilladoor-Key";
    static final String LAST_EVENT = "Last-Event-Id";
    static final String MODEL = "Vanilladoor-Model";

    /** Tokens to read and most tokens to generate, separated by a comma. */
    static final String TOKENS = "Vanilladoor-Token-Count";

    /** Parts of the prompt as identifier:tokens, separated by commas. */
    static final String PARTS = "Vanilladoor-Prompt-Prefix";

    /** Proof that an endpoint ran the request; not the endpoint's start. */
    static final String SIGNATURE = "Vanilladoor-Stamp";

    static final String NOT_RUN = "Vanilladoor-Not-Run";

    /** Running, waiting and slots, separated by commas. */
    static final String LOAD = "Vanilladoor-Load";

    /** Name of the endpoint that is meant. */
    static final String EXPECTED_ENDPOINT = "Vanilladoor-Expect-Instance";

    static final String TEAM = "Vanilladoor-Tenant";
    static final String STAGE = "Vanilladoor-Stage";
    static final String MEMORY_SOURCE = "Vanilladoor-Kv-From";

    /** 0 to 9, where 0 goes first. */
    static final String URGENCY = "Vanilladoor-Request-Urgency";

    /** Name of the VM that holds a duty. */
    static final String HOLDER = "Vanilladoor-Holder";

    /** Term of the lease under which a duty is done. */
    static final String TERM = "Vanilladoor-Fence";

    static final String RETRY_AFTER = "Retry-After";

    private Headers() {}
}
