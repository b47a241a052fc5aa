package org.vanilladoor.http;

import java.io.IOException;
import java.io.InputStream;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultHttpRequestParserFactory;
import org.apache.hc.core5.http.io.HttpMessageParser;
import org.apache.hc.core5.http.io.HttpMessageParserFactory;
import org.apache.hc.core5.http.io.SessionInputBuffer;

/**
 * Parses the heads of requests and limits the size of a whole head.
 *
 * <p>Confined to the thread of its connection.
 */
final class LimitedHeadParser implements HttpMessageParser<ClassicHttpRequest> {
    static final HttpMessageParserFactory<ClassicHttpRequest> FACTORY =
            config -> new LimitedHeadParser(config);
    private final HttpMessageParser<ClassicHttpRequest> mParser;

    private LimitedHeadParser(Http1Config config) {
        mParser = DefaultHttpRequestParserFactory.INSTANCE.create(config);
    }

    @Override
    public ClassicHttpRequest parse(SessionInputBuffer buffer, InputStream input)
            throws IOException, HttpException {
        return mParser.parse(HeadBuffer.ofRequest(buffer), input);
    }
}
