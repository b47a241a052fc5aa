package org.vanilladoor.allowance;

import java.util.OptionalLong;

/** What an allowance counts. */
public enum AllowanceUnit {
    /** Every request costs 1. */
    REQUESTS {
        @Override
        public double cost(OptionalLong tokens, long plainTokens) {
            return 1;
        }
    },

    /** A request costs its tokens. */
    TOKENS {
        @Override
        public double cost(OptionalLong tokens, long plainTokens) {
            return Math.max(0, tokens.orElse(plainTokens));
        }
    };

    /**
     * Returns what a request costs.
     *
     * @param tokens prompt and output tokens that the request states, if it states them
     * @param plainTokens cost in tokens of a request that states none
     */
    public abstract double cost(OptionalLong tokens, long plainTokens);
}
