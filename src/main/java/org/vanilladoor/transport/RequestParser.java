package org.vanilladoor.transport;

import java.io.IOException;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.nio.DefaultHttpRequestFactory;
import org.apache.hc.core5.http.impl.nio.DefaultHttpRequestParser;
import org.apache.hc.core5.http.nio.NHttpMessageParser;
import org.apache.hc.core5.http.nio.SessionInputBuffer;

/**
 * Parses the request heads of one caller's connection.
 *
 * <p>HttpCore responds to a head that is not valid with status 400 and closes the connection, so
 * that nothing behind it is read as a request. Confined to the I/O thread.
 */
final class RequestParser implements NHttpMessageParser<HttpRequest> {
    private final NHttpMessageParser<HttpRequest> mParser;
    private final RequestGate mGate;
    private final HeadInput mInput;

    private RequestParser(NHttpMessageParser<HttpRequest> parser, RequestGate gate) {
        mParser = parser;
        mGate = gate;
        mInput = HeadInput.ofRequests(gate::tryHoldHead);
    }

    static RequestParser create(Http1Config config, RequestGate gate) {
        return new RequestParser(
                new DefaultHttpRequestParser<>(
                        config, RequestLineParser.STRICT, DefaultHttpRequestFactory.INSTANCE),
                gate);
    }

    @Override
    public void reset() {
        mParser.reset();
        mInput.reset();
    }

    @Override
    public HttpRequest parse(SessionInputBuffer buffer, boolean endOfStream)
            throws IOException, HttpException {
        if (mGate.isClosed()) {
            mGate.setHasInput(buffer.hasData());
            return null;
        }
        HttpRequest head = mParser.parse(mInput.of(buffer), endOfStream);
        if (head != null) {
            mInput.reset();
            RequestFraming.requireUnambiguous(head);
        }
        return head;
    }
}
