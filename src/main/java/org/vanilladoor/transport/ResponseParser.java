package org.vanilladoor.transport;

import java.io.IOException;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.nio.DefaultHttpResponseFactory;
import org.apache.hc.core5.http.impl.nio.DefaultHttpResponseParser;
import org.apache.hc.core5.http.nio.NHttpMessageParser;
import org.apache.hc.core5.http.nio.SessionInputBuffer;

/**
 * Parses the response heads of one connection and rejects bytes that belong to no response.
 *
 * <p>Confined to the I/O thread.
 */
final class ResponseParser implements NHttpMessageParser<HttpResponse> {
    private final NHttpMessageParser<HttpResponse> mParser;
    private final ResponseBoundary mBoundary;
    private final HeadInput mInput = HeadInput.ofResponses();

    private ResponseParser(NHttpMessageParser<HttpResponse> parser, ResponseBoundary boundary) {
        mParser = parser;
        mBoundary = boundary;
    }

    static ResponseParser create(Http1Config config, ResponseBoundary boundary) {
        return new ResponseParser(
                new DefaultHttpResponseParser<>(
                        config,
                        ResponseLineParser.create(boundary::reportMergedHeads),
                        DefaultHttpResponseFactory.INSTANCE),
                boundary);
    }

    @Override
    public void reset() {
        mParser.reset();
        mInput.reset();
    }

    @Override
    public HttpResponse parse(SessionInputBuffer buffer, boolean endOfStream)
            throws IOException, HttpException {
        if (buffer.hasData()) {
            mBoundary.requireResponseDue();
        }
        // HttpCore would take the end of the connection for the end of a head.
        HttpResponse head = mParser.parse(mInput.of(buffer), false);
        if (head != null) {
            mInput.reset();
            ResponseFraming.requireUnambiguous(head);
            mBoundary.onHeadParsed(head);
        } else if (endOfStream && mBoundary.isResponseDue()) {
            throw new ConnectionClosedException(
                    "the connection was closed before or inside a head");
        }
        return head;
    }
}
