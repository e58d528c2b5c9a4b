package wellwheel.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import wellwheel.config.NodeOptions;
import wellwheel.runtime.Clock;
import wellwheel.runtime.FatalErrors;
import wellwheel.runtime.LoopClock;

/** HTTP/1.1 client with a bounded pool of connections for each address. */
public final class PooledHttpClient {
  private static final int ANSWER_MOST = 8 << 20;
  private static final int WAITING_MOST = 4096;
  private static final long IDLE_US = 4_000_000;
  private static final int CONNECT_MS = 500;
  private static final int CARRIED_MOST = 128;

  /** How a call ended, as far as it is known. */
  public enum Fate {
    ANSWERED,
    NOT_SENT,
    UNKNOWN
  }

  /** One request. */
  public record Call(
      String address,
      String method,
      String target,
      List<String> headers,
      byte[] body,
      long waitUs,
      int mostConnections,
      String echo) {}

  /**
   * How a call ended and what came back.
   *
   * @param headers by name in lower case, the last value of each
   * @param fields all header fields, name and value by turns, in the order in which they came
   */
  public record Answer(
      Fate fate, int status, Map<String, String> headers, byte[] body, List<String> fields) {
    public Answer(Fate fate, int status, Map<String, String> headers, byte[] body) {
      this(fate, status, headers, body, List.of());
    }

    static Answer of(Fate fate) {
      return new Answer(fate, 0, Map.of(), new byte[0]);
    }

    public String header(String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }
  }

  private static final class Job {
    final Call call;
    final Consumer<Answer> done;
    final FullHttpRequest request;
    Clock.Schedule timeout = () -> {};
    boolean over;
    Optional<Connection> connection = Optional.empty();

    Job(Call call, FullHttpRequest request, Consumer<Answer> done) {
      this.call = call;
      this.request = request;
      this.done = done;
    }

    boolean isHead() {
      return call.method().equals("HEAD");
    }

    void finish(Answer answer) {
      if (!over) {
        over = true;
        timeout.cancel();
        LoopClock.guarded(() -> done.accept(answer));
      }
    }
  }

  private static final class ResponseDecoder extends HttpResponseDecoder {
    private final Connection connection;

    ResponseDecoder(Connection connection) {
      super(4096, 16384, 8192);
      this.connection = connection;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out)
        throws Exception {
      if (connection.awaits()) {
        super.decode(context, buffer, out);
      } else if (buffer.isReadable()) {
        buffer.skipBytes(buffer.readableBytes());
        connection.unasked();
      }
    }

    /** An answer without a length ends with its connection, if the peer has closed it in order. */
    @Override
    protected void decodeLast(ChannelHandlerContext context, ByteBuf buffer, List<Object> out)
        throws Exception {
      if (connection.awaits() && !connection.closedHere) {
        super.decodeLast(context, buffer, out);
      } else {
        buffer.skipBytes(buffer.readableBytes());
      }
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
      return connection.job.filter(Job::isHead).isPresent() || super.isContentAlwaysEmpty(message);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
      throw new IllegalArgumentException("length with chunks");
    }
  }

  private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
    final Pool pool;
    Channel channel;
    Optional<Job> job = Optional.empty();
    Optional<Answer> answer = Optional.empty();
    final Set<String> carried = new LinkedHashSet<>();
    boolean used;
    boolean written;
    boolean persistent = true;

    /** Whether this side has closed it; what has come by then is no whole answer. */
    boolean closedHere;

    long idleUntilUs;

    Connection(Pool pool) {
      this.pool = pool;
    }

    boolean awaits() {
      return job.isPresent() && answer.isEmpty();
    }

    boolean fits(Job next) {
      return next.call.echo().isEmpty() ? !used : !carried.contains(next.call.echo());
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
      if (!awaits()) {
        drop();
        return;
      }
      var status = response.status();
      if (response.decoderResult().isFailure() || status.code() == 101) {
        failed();
      } else if (status.codeClass() != HttpStatusClass.INFORMATIONAL) {
        match(response);
      }
    }

    private void match(FullHttpResponse response) {
      var current = job.get();
      var named = response.headers().getAll("Attempt-Id");
      if (current.call.echo().isEmpty() || named.equals(List.of(current.call.echo()))) {
        answer = Optional.of(answerOf(response));
        persistent &=
            HttpUtil.isKeepAlive(response) && !current.call.echo().isEmpty() && !current.isHead();
      } else if (named.size() == 1 && carried.contains(named.get(0)) && !current.isHead()) {
        persistent = false;
      } else {
        failed();
      }
    }

    private static Answer answerOf(FullHttpResponse response) {
      var headers = new HashMap<String, String>();
      var fields = new ArrayList<String>(2 * response.headers().size());
      for (var entry : response.headers()) {
        headers.put(entry.getKey().toLowerCase(Locale.ROOT), entry.getValue());
        fields.add(entry.getKey());
        fields.add(entry.getValue());
      }
      var body = new byte[response.content().readableBytes()];
      response.content().readBytes(body);
      return new Answer(Fate.ANSWERED, response.status().code(), headers, body, fields);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
      answer.ifPresent(this::over);
    }

    private void over(Answer whole) {
      var current = job.get();
      job = Optional.empty();
      answer = Optional.empty();
      if (persistent && written && !pool.gone && channel.isActive()) {
        idleUntilUs = clock.steadyUs() + keepUs(whole.header("Keep-Alive"));
        pool.idle.addFirst(this);
      } else {
        drop();
      }
      current.finish(whole);
      pool.pump();
    }

    private static long keepUs(String header) {
      for (var part : header.split(",")) {
        var words = part.trim().split("=");
        if (words.length == 2 && words[0].equals("timeout") && words[1].matches("[0-9]{1,6}")) {
          return Math.max(0, Long.parseLong(words[1]) * 1_000_000 - 500_000);
        }
      }
      return IDLE_US;
    }

    void unasked() {
      persistent = false;
      drop();
    }

    void drop() {
      pool.connections.remove(this);
      pool.idle.remove(this);
      close();
    }

    private void close() {
      closedHere = true;
      channel.close();
    }

    private void failed() {
      drop();
      var current = job;
      job = Optional.empty();
      current.ifPresent(each -> each.finish(Answer.of(Fate.UNKNOWN)));
      pool.pump();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      if (answer.isPresent()) {
        over(answer.get());
      } else {
        failed();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      FatalErrors.check(cause);
      if (answer.isEmpty()) {
        failed();
      } else {
        unasked();
      }
    }

    void send(Job next) {
      job = Optional.of(next);
      next.connection = Optional.of(this);
      used = true;
      written = false;
      remember(next.call.echo());
      channel.writeAndFlush(next.request).addListener(this::wrote);
    }

    private void wrote(io.netty.util.concurrent.Future<? super Void> write) {
      written = write.isSuccess();
      if (!written) {
        close();
      }
    }

    private void remember(String echo) {
      if (!echo.isEmpty() && carried.add(echo) && carried.size() > CARRIED_MOST) {
        carried.remove(carried.iterator().next());
      }
    }
  }

  private final class Pool {
    final String address;
    final Set<Connection> connections = new HashSet<>();
    final ArrayDeque<Connection> idle = new ArrayDeque<>();
    final ArrayDeque<Job> waiting = new ArrayDeque<>();
    int connecting;
    int most = 1;
    boolean gone;

    Pool(String address) {
      this.address = address;
    }

    void pump() {
      while (!waiting.isEmpty()) {
        var next = waiting.peekFirst();
        if (next.over) {
          waiting.pollFirst();
          continue;
        }
        var connection = idleFor(next);
        if (connection.isPresent()) {
          waiting.pollFirst();
          connection.get().send(next);
        } else if (connections.size() + connecting < most && connecting < waiting.size()) {
          connect();
        } else if (connecting == 0 && !idle.isEmpty()) {
          idle.peekLast().drop();
        } else {
          return;
        }
      }
    }

    private Optional<Connection> idleFor(Job next) {
      for (var connection : List.copyOf(idle)) {
        if (!connection.channel.isActive() || clock.steadyUs() >= connection.idleUntilUs) {
          connection.drop();
        } else if (connection.fits(next)) {
          idle.remove(connection);
          return Optional.of(connection);
        }
      }
      return Optional.empty();
    }

    private void connect() {
      connecting++;
      var connection = new Connection(this);
      new Bootstrap()
          .group(loop)
          .channel(NioSocketChannel.class)
          .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
          .option(ChannelOption.TCP_NODELAY, true)
          .handler(
              new ChannelInitializer<SocketChannel>() {
                @Override
                protected void initChannel(SocketChannel channel) {
                  connection.channel = channel;
                  channel
                      .pipeline()
                      .addLast(
                          new HttpRequestEncoder(),
                          new ResponseDecoder(connection),
                          new HttpObjectAggregator(ANSWER_MOST),
                          connection);
                }
              })
          .connect(NodeOptions.hostOf(address), NodeOptions.portOf(address))
          .addListener(
              (io.netty.channel.ChannelFuture future) -> connected(connection, future.isSuccess()));
    }

    private void connected(Connection connection, boolean success) {
      connecting--;
      if (success && gone && waiting.isEmpty()) {
        connection.channel.close();
      } else if (success) {
        connection.idleUntilUs = clock.steadyUs() + IDLE_US;
        connections.add(connection);
        idle.addFirst(connection);
        pump();
      } else if (connections.size() == idle.size() && connecting == 0) {
        var failed = List.copyOf(waiting);
        waiting.clear();
        failed.forEach(job -> job.finish(Answer.of(Fate.NOT_SENT)));
      }
    }
  }

  private final EventLoop loop;
  private final LoopClock clock;
  private final Map<String, Pool> pools = new HashMap<>();

  public PooledHttpClient(EventLoop loop, LoopClock clock) {
    this.loop = loop;
    this.clock = clock;
  }

  public void call(Call call, Consumer<Answer> done) {
    var pool = pools.computeIfAbsent(call.address(), Pool::new);
    if (pool.waiting.size() >= WAITING_MOST) {
      done.accept(Answer.of(Fate.NOT_SENT));
      return;
    }
    var request = sound(call);
    if (request.isEmpty()) {
      done.accept(Answer.of(Fate.NOT_SENT));
      return;
    }
    var job = new Job(call, request.get(), done);
    pool.most = call.mostConnections();
    job.timeout = clock.after(call.waitUs(), () -> expire(job));
    pool.waiting.addLast(job);
    pool.pump();
  }

  private static Optional<FullHttpRequest> sound(Call call) {
    try {
      return Optional.of(request(call));
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  private static FullHttpRequest request(Call call) {
    var request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.valueOf(call.method()),
            call.target(),
            Unpooled.wrappedBuffer(call.body()));
    for (var i = 0; i + 1 < call.headers().size(); i += 2) {
      request.headers().add(call.headers().get(i), call.headers().get(i + 1));
    }
    if (!request.headers().contains(HttpHeaderNames.HOST)) {
      request.headers().set(HttpHeaderNames.HOST, call.address());
    }
    if (call.body().length > 0 || call.method().equals("POST") || call.method().equals("PUT")) {
      request.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, call.body().length);
    }
    return request;
  }

  private static void expire(Job job) {
    if (!job.over) {
      job.connection.ifPresent(connection -> connection.job = Optional.empty());
      job.connection.ifPresent(Connection::drop);
      job.finish(Answer.of(job.connection.isPresent() ? Fate.UNKNOWN : Fate.NOT_SENT));
    }
  }

  public void forget(String address) {
    Optional.ofNullable(pools.remove(address))
        .ifPresent(
            pool -> {
              pool.gone = true;
              List.copyOf(pool.idle).forEach(Connection::drop);
            });
  }
}
