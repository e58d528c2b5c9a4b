package wellwheel.transport;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpVersion;

/** Reads requests and refuses heads that two readers might understand differently. */
final class StrictRequestDecoder extends HttpRequestDecoder {
  StrictRequestDecoder(HttpDecoderConfig config) {
    super(config);
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException("length with chunks");
  }

  /** Whether the head leaves no doubt about its host and where its body ends. */
  static boolean isSound(HttpRequest request) {
    var headers = request.headers();
    return hasSoundCoding(request)
        && headers.getAll(HttpHeaderNames.HOST).size() == 1
        && !request.method().equals(HttpMethod.CONNECT)
        && headers.getAll(HttpHeaderNames.CONTENT_LENGTH).size() <= 1
        && request.uri().startsWith("/")
        && request.protocolVersion().majorVersion() == 1;
  }

  private static boolean hasSoundCoding(HttpRequest request) {
    var codings = request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
    return codings.isEmpty()
        || codings.size() == 1
            && codings.get(0).trim().equalsIgnoreCase("chunked")
            && request.protocolVersion().equals(HttpVersion.HTTP_1_1);
  }
}
