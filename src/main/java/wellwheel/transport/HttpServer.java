package wellwheel.transport;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import wellwheel.config.Configuration;
import wellwheel.config.NodeOptions;
import wellwheel.runtime.FatalErrors;
import wellwheel.runtime.LoopClock;
import wellwheel.runtime.ResultCode;

/** Serves HTTP/1.1 on an event loop, strictly: what cannot be read without doubt is refused. */
public final class HttpServer implements GracefulShutdown.Clients {
  private static final int PIPELINE_MOST = 16;
  private static final long WATCH_US = 500_000;
  private final EventLoop loop;
  private final LoopClock clock;
  private final Supplier<Configuration.Caps> caps;
  private final Consumer<Exchange> handler;
  private final int connectionsMost;
  private final BodyBudget budget;
  private final Set<Handler> open = new HashSet<>();
  private boolean draining;
  private boolean refusing;

  public HttpServer(
      EventLoop loop,
      LoopClock clock,
      Supplier<Configuration.Caps> caps,
      int connectionsMost,
      Consumer<Exchange> handler) {
    this(
        loop,
        clock,
        caps,
        connectionsMost,
        BodyBudget.ofHeap(Runtime.getRuntime().maxMemory()),
        handler);
  }

  HttpServer(
      EventLoop loop,
      LoopClock clock,
      Supplier<Configuration.Caps> caps,
      int connectionsMost,
      BodyBudget budget,
      Consumer<Exchange> handler) {
    this.budget = budget;
    this.loop = loop;
    this.clock = clock;
    this.caps = caps;
    this.connectionsMost = connectionsMost;
    this.handler = handler;
  }

  public void open(String address) throws InterruptedException {
    new ServerBootstrap()
        .group(loop, loop)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_BACKLOG, 1024)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                if (open.size() >= connectionsMost) {
                  channel.close();
                  return;
                }
                var limits = caps.get();
                var config =
                    new HttpDecoderConfig()
                        .setMaxInitialLineLength(Math.min(8192, limits.headerBytes()))
                        .setMaxHeaderSize(limits.headerBytes())
                        .setInitialBufferSize(256);
                var handler = new Handler(channel);
                channel
                    .pipeline()
                    .addLast(
                        new ByteWatch(handler),
                        new StrictRequestDecoder(config),
                        new HttpResponseEncoder(),
                        handler);
              }
            })
        .bind(NodeOptions.hostOf(address), NodeOptions.portOf(address))
        .sync();
  }

  public void watch() {
    clock.every(WATCH_US, () -> List.copyOf(open).forEach(Handler::watch));
  }

  @Override
  public void drain() {
    draining = true;
  }

  @Override
  public void closeIdle() {
    List.copyOf(open).forEach(Handler::closeIfIdle);
  }

  @Override
  public void refuseNew() {
    drain();
    refusing = true;
  }

  @Override
  public void answerOpen() {
    refuseNew();
    List.copyOf(open).forEach(Handler::answerOpen);
  }

  @Override
  public int connections() {
    return open.size();
  }

  private static final class ByteWatch extends ChannelInboundHandlerAdapter {
    private final Handler handler;

    ByteWatch(Handler handler) {
      this.handler = handler;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      handler.sawBytes();
      context.fireChannelRead(message);
    }
  }

  private final class Handler extends ChannelInboundHandlerAdapter {
    private final Channel channel;
    private final ArrayDeque<Request> waiting = new ArrayDeque<>();
    private Optional<HttpRequest> head = Optional.empty();
    private Optional<Request> busy = Optional.empty();
    private IncomingBody body = new IncomingBody(budget);
    private long touchedUs = clock.steadyUs();
    private long headSinceUs = touchedUs;
    private boolean headBegun;
    private boolean broken;

    /** Whether the connection ends once all that was read has its answer. */
    private boolean closing;

    Handler(Channel channel) {
      this.channel = channel;
      open.add(this);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      try {
        touchedUs = clock.steadyUs();
        if (broken) {
          return;
        }
        if (message instanceof HttpRequest request) {
          takeHead(request);
        }
        if (message instanceof HttpContent content && !broken) {
          takeBody(content);
        }
      } finally {
        ReferenceCountUtil.release(message);
      }
    }

    private void takeHead(HttpRequest request) {
      if (request.decoderResult().isFailure()) {
        var cause = request.decoderResult().cause();
        breakOff(
            cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException
                ? ResultCode.HEAD_TOO_LARGE
                : ResultCode.BAD_REQUEST);
        return;
      }
      if (!StrictRequestDecoder.isSound(request)) {
        breakOff(ResultCode.BAD_REQUEST);
        return;
      }
      if (HttpUtil.isContentLengthSet(request)
          && HttpUtil.getContentLength(request) > caps.get().bodyBytes()) {
        breakOff(ResultCode.TOO_LARGE);
        return;
      }
      head = Optional.of(request);
      headBegun = false;
      body = new IncomingBody(budget);
      if (HttpUtil.is100ContinueExpected(request) && busy.isEmpty()) {
        channel.writeAndFlush(
            new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
      }
    }

    private void takeBody(HttpContent content) {
      if (content.decoderResult().isFailure()) {
        breakOff(ResultCode.BAD_REQUEST);
        return;
      }
      if (head.isEmpty()) {
        return;
      }
      var bytes = content.content();
      if (body.received() + bytes.readableBytes() > caps.get().bodyBytes()) {
        breakOff(ResultCode.TOO_LARGE);
        return;
      }
      body.add(bytes);
      if (content instanceof LastHttpContent) {
        var request = new Request(this, head.get(), body);
        body = new IncomingBody(budget);
        head = Optional.empty();
        enqueue(request);
      }
    }

    private void enqueue(Request request) {
      if (waiting.size() >= PIPELINE_MOST) {
        request.release();
        breakOff(ResultCode.BAD_REQUEST);
        return;
      }
      waiting.add(request);
      serve();
    }

    private void serve() {
      while (busy.isEmpty() && !waiting.isEmpty() && !broken) {
        var request = waiting.poll();
        busy = Optional.of(request);
        if (request.incoming.refused()) {
          request.answer(Exchange.Answer.later(ResultCode.BODIES_FULL, 1));
        } else if (refusing) {
          request.answer(Exchange.Answer.later(ResultCode.LEAVING, 1));
        } else {
          LoopClock.guarded(() -> handler.accept(request));
        }
      }
    }

    private void dropWaiting() {
      body.release();
      waiting.forEach(Request::release);
      waiting.clear();
    }

    private void breakOff(ResultCode code) {
      broken = true;
      dropWaiting();
      if (busy.isEmpty()) {
        write(Exchange.Answer.of(code).closing(), false, false);
      }
    }

    void write(Exchange.Answer answer, boolean keepAlive, boolean bare) {
      var status = answer.code().status();
      var response =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1,
              HttpResponseStatus.valueOf(status),
              status == 204 || bare
                  ? Unpooled.EMPTY_BUFFER
                  : Unpooled.wrappedBuffer(answer.body()));
      for (var i = 0; i + 1 < answer.headers().size(); i += 2) {
        response.headers().set(answer.headers().get(i), answer.headers().get(i + 1));
      }
      if (status != 204) {
        response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, answer.body().length);
        if (answer.body().length > 0) {
          response.headers().set(HttpHeaderNames.CONTENT_TYPE, answer.contentType());
        }
      }
      closing |= answer.close();
      send(response, keepAlive);
    }

    /** What was read behind this request is answered before the connection is closed. */
    private void send(FullHttpResponse response, boolean keepAlive) {
      var close = !keepAlive || (closing || draining) && waiting.isEmpty();
      if (close) {
        response.headers().set(HttpHeaderNames.CONNECTION, "close");
      }
      var future = channel.writeAndFlush(response);
      if (close) {
        broken = true;
        future.addListener(ChannelFutureListener.CLOSE);
      }
    }

    private void write(Exchange.Relayed answer, boolean keepAlive, boolean bare) {
      var response =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1,
              HttpResponseStatus.valueOf(answer.status()),
              bare ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(answer.body()));
      for (var i = 0; i + 1 < answer.fields().size(); i += 2) {
        response.headers().add(answer.fields().get(i), answer.fields().get(i + 1));
      }
      if (answer.status() != HttpResponseStatus.NO_CONTENT.code()) {
        response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, answer.body().length);
      }
      send(response, keepAlive);
    }

    void done(Request request, Exchange.Answer answer) {
      ended(request, keepAlive -> write(answer, keepAlive, isHead(request)));
    }

    void done(Request request, Exchange.Relayed answer) {
      ended(request, keepAlive -> write(answer, keepAlive, isHead(request)));
    }

    private static boolean isHead(Request request) {
      return request.head.method().equals(HttpMethod.HEAD);
    }

    private void ended(Request request, Consumer<Boolean> writer) {
      if (busy.isEmpty() || busy.get() != request) {
        return;
      }
      busy = Optional.empty();
      touchedUs = clock.steadyUs();
      if (channel.isActive()) {
        writer.accept(HttpUtil.isKeepAlive(request.head) && !broken);
        serve();
      }
    }

    void watch() {
      var nowUs = clock.steadyUs();
      if (busy.isPresent()) {
        return;
      }
      if (head.isPresent()
          ? nowUs - touchedUs > caps.get().idleUs()
          : headBegun && nowUs - headSinceUs > caps.get().headerWaitUs()) {
        breakOff(ResultCode.SLOW_HEAD);
      } else if (head.isEmpty() && nowUs - touchedUs > caps.get().idleUs()) {
        channel.close();
      }
    }

    void sawBytes() {
      if (head.isEmpty() && !headBegun) {
        headBegun = true;
        headSinceUs = clock.steadyUs();
      }
    }

    void answerOpen() {
      busy.ifPresent(request -> request.answer(Exchange.Answer.of(ResultCode.UNSURE)));
    }

    void closeIfIdle() {
      if (busy.isEmpty() && head.isEmpty() && waiting.isEmpty()) {
        channel.close();
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      open.remove(this);
      busy.ifPresent(Request::closed);
      dropWaiting();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      FatalErrors.check(cause);
      context.close();
    }
  }

  private static final class Request implements Exchange {
    private final Handler handler;
    private final HttpRequest head;
    private final IncomingBody incoming;
    private final byte[] body;
    private Optional<Runnable> onClose = Optional.empty();

    Request(Handler handler, HttpRequest head, IncomingBody incoming) {
      this.handler = handler;
      this.head = head;
      this.incoming = incoming;
      this.body = incoming.bytes();
    }

    /** The body is not held for this request any longer. */
    private void release() {
      incoming.release();
    }

    @Override
    public String method() {
      return head.method().name();
    }

    @Override
    public String target() {
      return head.uri();
    }

    @Override
    public Optional<String> header(String name) {
      return Optional.ofNullable(head.headers().get(name));
    }

    @Override
    public List<String> headers(String name) {
      return head.headers().getAll(name);
    }

    @Override
    public byte[] body() {
      return body;
    }

    @Override
    public List<String> fields() {
      var fields = new ArrayList<String>(2 * head.headers().size());
      for (var field : head.headers()) {
        fields.add(field.getKey());
        fields.add(field.getValue());
      }
      return fields;
    }

    @Override
    public void answer(Answer answer) {
      release();
      handler.done(this, answer);
    }

    @Override
    public void relay(Relayed answer) {
      release();
      handler.done(this, answer);
    }

    @Override
    public boolean open() {
      return handler.channel.isActive()
          && handler.busy.filter(request -> request == this).isPresent();
    }

    @Override
    public void onClose(Runnable task) {
      onClose = Optional.of(task);
    }

    void closed() {
      onClose.ifPresent(LoopClock::guarded);
    }
  }
}
