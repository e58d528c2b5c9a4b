package wellwheel.transport;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.util.AttributeKey;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiConsumer;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Isolated;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import wellwheel.runtime.LoopClock;
import wellwheel.transport.PooledHttpClient.Answer;
import wellwheel.transport.PooledHttpClient.Fate;

@Isolated
class PooledHttpClientTest {
  private static final NioEventLoopGroup CLIENTS = new NioEventLoopGroup(1);
  private static final NioEventLoopGroup SERVERS = new NioEventLoopGroup(2);
  private static final long LONG_US = 8_000_000;
  private static final long SHORT_US = 40_000;
  private static final int SEEDS = 200;
  private static final int CALLS = 30;

  /** The newest request on a connection of a service. */
  private static final AttributeKey<String> NEWEST_TAG = AttributeKey.valueOf("newest-tag");

  /** Requests whose connection was closed in order for the sake of an earlier one on it. */
  private static final Set<String> CLOSED_IN_ORDER = ConcurrentHashMap.newKeySet();

  private enum Fault {
    NONE,
    SLOW,
    TWICE,
    TWICE_LATER,
    TWICE_IN_HALVES,
    SHORT_BODY,
    CUT_CHUNK,
    CUT_HEAD,
    OPEN_BODY,
    RESET,
    RESET_IN_BODY,
    LATE,
    OTHER_ID,
    NO_ID,
    CLOSES_IDLE,
    CLOSES,
    INTERIM;

    boolean mayBeWhole(boolean named) {
      return !Set.of(SHORT_BODY, CUT_CHUNK, CUT_HEAD, RESET, RESET_IN_BODY).contains(this)
          && !(named && (this == OTHER_ID || this == NO_ID));
    }
  }

  private record Asked(String tag, String id, Channel channel) {
    void write(String text) {
      channel.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
    }

    void later(long waitUs, Runnable task) {
      channel.eventLoop().schedule(task, waitUs, TimeUnit.MICROSECONDS);
    }

    String whole() {
      return answer(id, tag);
    }

    void closeIdle() {
      CLOSED_IN_ORDER.add(channel.attr(NEWEST_TAG).get());
      channel.close();
    }

    void reset() {
      channel.config().setOption(ChannelOption.SO_LINGER, 0);
      channel.close();
    }
  }

  private static final class Service {
    final Set<String> seen = ConcurrentHashMap.newKeySet();
    final List<Channel> connections = new CopyOnWriteArrayList<>();
    final String address;

    Service(BiConsumer<Service, Asked> script) throws InterruptedException {
      var channel =
          new ServerBootstrap()
              .group(SERVERS)
              .channel(NioServerSocketChannel.class)
              .option(ChannelOption.SO_BACKLOG, 1024)
              .childHandler(
                  new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel accepted) {
                      connections.add(accepted);
                      accepted
                          .pipeline()
                          .addLast(
                              new HttpRequestDecoder(),
                              new HttpObjectAggregator(4096),
                              new SimpleChannelInboundHandler<FullHttpRequest>() {
                                @Override
                                protected void channelRead0(
                                    ChannelHandlerContext context, FullHttpRequest request) {
                                  var asked =
                                      new Asked(
                                          request.headers().get("Tag"),
                                          request.headers().get("Attempt-Id", ""),
                                          context.channel());
                                  seen.add(asked.tag());
                                  context.channel().attr(NEWEST_TAG).set(asked.tag());
                                  script.accept(Service.this, asked);
                                }

                                @Override
                                public void exceptionCaught(
                                    ChannelHandlerContext context, Throwable cause) {
                                  context.close();
                                }
                              });
                    }
                  })
              .bind("127.0.0.1", 0)
              .sync()
              .channel();
      address = "127.0.0.1:" + ((InetSocketAddress) channel.localAddress()).getPort();
    }
  }

  private static final class Client {
    final PooledHttpClient caller =
        new PooledHttpClient(CLIENTS.next(), new LoopClock(CLIENTS.next()));
    final String address;
    final int most;

    Client(String address, int most) {
      this.address = address;
      this.most = most;
    }

    CompletableFuture<Answer> call(String method, String tag, String id, long waitUs) {
      var told = new CompletableFuture<Answer>();
      var headers = new ArrayList<>(List.of("Tag", tag));
      if (!id.isEmpty()) {
        headers.addAll(List.of("Attempt-Id", id));
      }
      CLIENTS
          .next()
          .execute(
              () ->
                  caller.call(
                      new PooledHttpClient.Call(
                          address, method, "/x", headers, new byte[0], waitUs, most, id),
                      told::complete));
      return told;
    }

    CompletableFuture<Answer> post(String tag, String id) {
      return call("POST", tag, id, LONG_US);
    }
  }

  @AfterAll
  static void close() {
    CLIENTS.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    SERVERS.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private static String answer(String id, String body) {
    return "HTTP/1.1 200 OK\r\nAttempt-Id: "
        + id
        + "\r\nContent-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  private static Answer get(CompletableFuture<Answer> told) throws Exception {
    return told.get(10, TimeUnit.SECONDS);
  }

  private static String text(Answer answer) {
    return answer.fate() == Fate.ANSWERED
        ? new String(answer.body(), StandardCharsets.ISO_8859_1)
        : answer.fate().name();
  }

  private static void play(Fault fault, Asked asked, long pauseUs) {
    switch (fault) {
      case SLOW -> asked.later(pauseUs + 2_000, () -> asked.write(asked.whole()));
      case TWICE -> asked.write(asked.whole() + asked.whole());
      case TWICE_LATER -> {
        asked.write(asked.whole());
        asked.later(pauseUs, () -> asked.write(asked.whole()));
      }
      case TWICE_IN_HALVES -> {
        var cut = asked.whole().length() / 2;
        asked.write(asked.whole() + asked.whole().substring(0, cut));
        asked.later(pauseUs, () -> asked.write(asked.whole().substring(cut)));
      }
      case SHORT_BODY ->
          cut(
              asked,
              "HTTP/1.1 200 OK\r\nAttempt-Id: "
                  + asked.id()
                  + "\r\nContent-Length: 90\r\n\r\n"
                  + asked.tag());
      case CUT_CHUNK ->
          cut(
              asked,
              "HTTP/1.1 200 OK\r\nAttempt-Id: "
                  + asked.id()
                  + "\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n");
      case CUT_HEAD -> cut(asked, "HTTP/1.1 200 OK\r\nAttempt-Id: " + asked.id() + "\r\n");
      case OPEN_BODY ->
          cut(asked, "HTTP/1.1 200 OK\r\nAttempt-Id: " + asked.id() + "\r\n\r\n" + asked.tag());
      case RESET -> asked.reset();
      case RESET_IN_BODY -> {
        asked.write("HTTP/1.1 200 OK\r\nAttempt-Id: " + asked.id() + "\r\n\r\n" + asked.tag());
        asked.later(pauseUs, asked::reset);
      }
      case LATE -> asked.later(SHORT_US + 5_000, () -> asked.write(asked.whole()));
      case OTHER_ID -> asked.write(answer("other", asked.tag()));
      case NO_ID -> asked.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
      case CLOSES_IDLE -> {
        asked.write(asked.whole());
        asked.later(pauseUs, asked::closeIdle);
      }
      case CLOSES ->
          cut(
              asked,
              asked.whole().replace("Content-Length", "Connection: close\r\nContent-Length"));
      case INTERIM ->
          asked.write(
              "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
                  + asked.whole());
      default -> asked.write(asked.whole());
    }
  }

  private static void cut(Asked asked, String text) {
    asked.write(text);
    asked.channel().close();
  }

  private static final class Run {
    final Client client;
    final Random random;
    final Map<String, Fault> script;
    final List<CompletableFuture<Void>> ended = new ArrayList<>();
    final Map<String, Answer> answers;
    final Map<String, Boolean> named;
    final int seed;
    int next;

    Run(
        int seed,
        String address,
        Map<String, Fault> script,
        Map<String, Answer> answers,
        Map<String, Boolean> named) {
      this.seed = seed;
      this.random = new Random(seed);
      this.client = new Client(address, 1 + random.nextInt(3));
      this.script = script;
      this.answers = answers;
      this.named = named;
    }

    CompletableFuture<Void> start() {
      return CompletableFuture.allOf(go(), go(), go(), go());
    }

    private synchronized CompletableFuture<Void> go() {
      if (next >= CALLS) {
        return CompletableFuture.completedFuture(null);
      }
      var number = seed + "." + next++;
      var id = random.nextInt(4) == 0 ? "" : "id" + number;
      return attempt(number, id, 1, 1 + random.nextInt(2)).thenCompose(nothing -> go());
    }

    private synchronized CompletableFuture<Void> attempt(
        String number, String id, int attempt, int most) {
      var tag = number + "/" + attempt;
      var drawn =
          random.nextBoolean() ? Fault.NONE : Fault.values()[random.nextInt(Fault.values().length)];
      var fault = attempt > 1 && random.nextBoolean() ? Fault.SLOW : drawn;
      script.put(tag, fault);
      named.put(tag, !id.isEmpty());
      return client
          .call("POST", tag, id, fault == Fault.LATE ? SHORT_US : LONG_US)
          .thenCompose(
              answer -> {
                answers.put(tag, answer);
                return attempt < most
                    ? attempt(number, id, attempt + 1, most)
                    : CompletableFuture.completedFuture(null);
              });
    }
  }

  @Test
  void everyAnswerIsTheCallsOwnAndWhatWasNotSentWasNeverSeen() throws Exception {
    var script = new ConcurrentHashMap<String, Fault>();
    var answers = new ConcurrentHashMap<String, Answer>();
    var named = new ConcurrentHashMap<String, Boolean>();
    var service =
        new Service(
            (self, asked) ->
                play(
                    script.get(asked.tag()),
                    asked,
                    200 + Math.floorMod(asked.tag().hashCode(), 4_000)));
    var runs = new ArrayList<CompletableFuture<Void>>();
    for (var seed = 0; seed < SEEDS; seed++) {
      runs.add(new Run(seed, service.address, script, answers, named).start());
    }
    CompletableFuture.allOf(runs.toArray(CompletableFuture[]::new)).get(30, TimeUnit.SECONDS);
    assertThat(answers.keySet()).isEqualTo(script.keySet());
    answers.forEach((tag, answer) -> check(tag, answer, script.get(tag), named.get(tag), service));
    var sound =
        answers.entrySet().stream()
            .filter(
                each ->
                    script.get(each.getKey()) == Fault.NONE
                        && each.getValue().fate() == Fate.ANSWERED)
            .count();
    assertThat(sound).isGreaterThan(SEEDS * CALLS / 3L);
  }

  private static void check(
      String tag, Answer answer, Fault fault, boolean named, Service service) {
    if (answer.fate() == Fate.ANSWERED) {
      var endedInOrder = fault == Fault.RESET_IN_BODY && CLOSED_IN_ORDER.contains(tag);
      assertWithMessage(tag + " " + fault).that(fault.mayBeWhole(named) || endedInOrder).isTrue();
      if (fault != Fault.NO_ID) {
        assertWithMessage(tag + " " + fault + " named " + named).that(text(answer)).isEqualTo(tag);
      }
    } else if (answer.fate() == Fate.NOT_SENT) {
      assertWithMessage(tag + " was not sent").that(service.seen).doesNotContain(tag);
    }
  }

  @Test
  void ordinaryCallsInTurnShareOneConnection() throws Exception {
    var service = new Service((self, asked) -> asked.write(asked.whole()));
    var client = new Client(service.address, 4);
    var all = new CompletableFuture<Integer>();
    inTurn(client, 1, 60, all);
    assertThat(all.get(10, TimeUnit.SECONDS)).isEqualTo(60);
    assertThat(service.connections).hasSize(1);
  }

  private static void inTurn(Client client, int number, int most, CompletableFuture<Integer> all) {
    var call =
        new PooledHttpClient.Call(
            client.address,
            "POST",
            "/x",
            List.of("Tag", "t" + number, "Attempt-Id", "id" + number),
            new byte[0],
            LONG_US,
            client.most,
            "id" + number);
    CLIENTS
        .next()
        .execute(
            () ->
                client.caller.call(
                    call,
                    answer -> {
                      if (number == most || !text(answer).equals("t" + number)) {
                        all.complete(number);
                      } else {
                        inTurn(client, number + 1, most, all);
                      }
                    }));
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "id"})
  void aSecondAnswerThatComesWithTheFirstIsNotTheNextCalls(String id) throws Exception {
    var service =
        new Service(
            (self, asked) ->
                asked.write(
                    asked.tag().equals("a")
                        ? asked.whole() + answer(id.isEmpty() ? "" : "idb", "a")
                        : asked.whole()));
    var client = new Client(service.address, 1);
    var first = client.post("a", id.isEmpty() ? "" : "ida");
    var second = client.post("b", id.isEmpty() ? "" : "idb");
    assertThat(text(get(first))).isEqualTo("a");
    assertThat(text(get(second))).isEqualTo("b");
  }

  @Test
  void aSecondAnswerThatComesBesideTheNextCallIsPassedOverAndTheOwnOneTaken() throws Exception {
    var service =
        new Service(
            (self, asked) ->
                asked.write(
                    asked.tag().equals("b") ? answer("ida", "a") + asked.whole() : asked.whole()));
    var client = new Client(service.address, 1);
    assertThat(text(get(client.post("a", "ida")))).isEqualTo("a");
    assertThat(text(get(client.post("b", "idb")))).isEqualTo("b");
    assertThat(service.connections).hasSize(1);
    assertThat(text(get(client.post("c", "idc")))).isEqualTo("c");
    assertThat(service.connections).hasSize(2);
  }

  @Test
  void aSecondAnswerToAnEarlierAttemptIsNotTheRepeatedOnes() throws Exception {
    var earlier = new CompletableFuture<Asked>();
    var service =
        new Service(
            (self, asked) -> {
              if (asked.tag().equals("a/1")) {
                asked.write(asked.whole());
                earlier.complete(asked);
              } else {
                earlier.join().write(earlier.join().whole());
                asked.later(10_000, () -> asked.write(asked.whole()));
              }
            });
    var client = new Client(service.address, 1);
    assertThat(text(get(client.post("a/1", "ida")))).isEqualTo("a/1");
    assertThat(text(get(client.post("a/2", "ida")))).isEqualTo("a/2");
    assertThat(service.connections).hasSize(2);
  }

  @Test
  void bytesOnAnIdleConnectionCloseIt() throws Exception {
    var service =
        new Service(
            (self, asked) -> {
              asked.write(asked.whole());
              if (asked.tag().equals("a")) {
                asked.later(10_000, () -> asked.write("H"));
              }
            });
    var client = new Client(service.address, 1);
    assertThat(text(get(client.post("a", "ida")))).isEqualTo("a");
    assertThat(service.connections.get(0).closeFuture().await(10, TimeUnit.SECONDS)).isTrue();
    assertThat(text(get(client.post("b", "idb")))).isEqualTo("b");
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "SHORT_BODY",
        "CUT_CHUNK",
        "CUT_HEAD",
        "RESET",
        "RESET_IN_BODY",
        "OTHER_ID",
        "NO_ID"
      })
  void whatIsBrokenOffOrNotItsOwnIsNoAnswer(String fault) throws Exception {
    var service = new Service((self, asked) -> play(Fault.valueOf(fault), asked, 10_000));
    assertThat(get(new Client(service.address, 1).post("a", "ida")).fate()).isEqualTo(Fate.UNKNOWN);
  }

  private static String open(String version, Asked asked) {
    return version + " 200 OK\r\nAttempt-Id: " + asked.id() + "\r\nServer-Seal: s\r\n\r\n";
  }

  private static Answer answered(BiConsumer<Service, Asked> script) throws Exception {
    return get(new Client(new Service(script).address, 1).post("tag", "id"));
  }

  /** Guards against whole answers that are not read because they have no length. */
  @ParameterizedTest
  @ValueSource(strings = {"HTTP/1.1", "HTTP/1.0"})
  void anAnswerWithoutLengthEndsWithItsConnection(String version) throws Exception {
    var answer = answered((self, asked) -> cut(asked, open(version, asked) + "the body"));
    assertThat(text(answer)).isEqualTo("the body");
    assertThat(answer.header("Server-Seal")).isEqualTo("s");
    assertThat(text(answered((self, asked) -> cut(asked, open(version, asked))))).isEmpty();
  }

  @Test
  void anAnswerWithoutLengthMayComeInPiecesAndEndAfterASilence() throws Exception {
    var answer =
        answered(
            (self, asked) -> {
              asked.write(open("HTTP/1.1", asked).substring(0, 20));
              asked.later(
                  20_000, () -> asked.write(open("HTTP/1.1", asked).substring(20) + "one "));
              asked.later(40_000, () -> asked.write("two"));
              asked.later(1_300_000, asked.channel()::close);
            });
    assertThat(text(answer)).isEqualTo("one two");
  }

  @Test
  void anAnswerWithoutLengthThatIsResetAfterASilenceIsNoAnswer() throws Exception {
    var answer =
        answered(
            (self, asked) -> {
              asked.write(open("HTTP/1.1", asked) + "the body");
              asked.later(1_300_000, asked::reset);
            });
    assertThat(answer.fate()).isEqualTo(Fate.UNKNOWN);
  }

  @Test
  void anAnswerWithoutLengthWhoseTimeIsOverIsNoAnswer() throws Exception {
    var service = new Service((self, asked) -> asked.write(open("HTTP/1.1", asked) + "the body"));
    var answer = get(new Client(service.address, 1).call("POST", "tag", "id", 300_000));
    assertThat(answer.fate()).isEqualTo(Fate.UNKNOWN);
  }

  @Test
  void anAnswerWithoutLengthOverTheCapIsNoAnswer() throws Exception {
    var piece = "x".repeat(1 << 20);
    var answer =
        answered(
            (self, asked) -> {
              asked.write(open("HTTP/1.1", asked));
              for (var number = 0; number < 9; number++) {
                asked.write(piece);
              }
              asked.channel().close();
            });
    assertThat(answer.fate()).isEqualTo(Fate.UNKNOWN);
  }

  @ParameterizedTest
  @ValueSource(ints = {204, 304})
  void anAnswerThatHasNoBodyNeedsNoLength(int status) throws Exception {
    var answer =
        answered(
            (self, asked) ->
                asked.write("HTTP/1.1 " + status + " X\r\nAttempt-Id: " + asked.id() + "\r\n\r\n"));
    assertThat(answer.status()).isEqualTo(status);
  }

  @Test
  void anAnswerWithLengthAndChunksIsNoAnswer() throws Exception {
    var service =
        new Service(
            (self, asked) ->
                asked.write(
                    "HTTP/1.1 200 OK\r\nAttempt-Id: ida\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"));
    assertThat(get(new Client(service.address, 1).post("a", "ida")).fate()).isEqualTo(Fate.UNKNOWN);
  }

  @Test
  void interimAnswersAreNotTheAnswer() throws Exception {
    var service = new Service((self, asked) -> play(Fault.INTERIM, asked, 0));
    var answer = get(new Client(service.address, 1).post("a", "ida"));
    assertThat(answer.status()).isEqualTo(200);
    assertThat(text(answer)).isEqualTo("a");
  }

  @Test
  void anAnswerToHeadHasNoBodyAndItsConnectionIsNotUsedAgain() throws Exception {
    var service =
        new Service(
            (self, asked) ->
                asked.write(
                    "HTTP/1.1 200 OK\r\nAttempt-Id: "
                        + asked.id()
                        + "\r\nContent-Length: 7\r\n\r\n"));
    var client = new Client(service.address, 1);
    assertThat(get(client.call("HEAD", "a", "ida", LONG_US)).status()).isEqualTo(200);
    assertThat(get(client.call("HEAD", "b", "idb", LONG_US)).status()).isEqualTo(200);
    assertThat(service.connections).hasSize(2);
  }

  @Test
  void whatWaitsForAConnectionUntilItsTimeIsOverWasNotSent() throws Exception {
    var service = new Service((self, asked) -> {});
    var client = new Client(service.address, 1);
    var sent = client.call("POST", "a", "ida", SHORT_US);
    var waits = client.call("POST", "b", "idb", SHORT_US / 2);
    assertThat(get(waits).fate()).isEqualTo(Fate.NOT_SENT);
    assertThat(get(sent).fate()).isEqualTo(Fate.UNKNOWN);
    assertThat(service.seen).containsExactly("a");
  }

  @Test
  void whereNobodyListensNothingIsSent() throws Exception {
    int port;
    try (var socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      port = socket.getLocalPort();
    }
    var client = new Client("127.0.0.1:" + port, 1);
    var both = List.of(client.post("a", "ida"), client.post("b", "idb"));
    assertThat(get(both.get(0)).fate()).isEqualTo(Fate.NOT_SENT);
    assertThat(get(both.get(1)).fate()).isEqualTo(Fate.NOT_SENT);
  }

  @Test
  void aConnectionClosedAgainBeforeTheAnswerLeavesItUnclearAndTheOtherWaitingCallIsSent()
      throws Exception {
    var count = new AtomicInteger();
    var service =
        new Service(
            (self, asked) -> {
              if (count.incrementAndGet() == 1) {
                asked.reset();
              } else {
                asked.write(asked.whole());
              }
            });
    var client = new Client(service.address, 1);
    var first = client.post("a", "ida");
    var second = client.post("b", "idb");
    assertThat(get(first).fate()).isEqualTo(Fate.UNKNOWN);
    assertThat(text(get(second))).isEqualTo("b");
  }

  @Test
  void aCallThatCannotBeWrittenWasNotSent() throws Exception {
    var service = new Service((self, asked) -> asked.write(asked.whole()));
    var client = new Client(service.address, 1);
    assertThat(get(client.call("BAD METHOD", "a", "ida", LONG_US)).fate()).isEqualTo(Fate.NOT_SENT);
    assertThat(service.seen).isEmpty();
  }

  /** Guards against tenants that look alike to a processor: both went out as question marks. */
  @Test
  void textBeyondAsciiGoesOutAsUtf8() throws Exception {
    var service = new Service((self, asked) -> asked.write(asked.whole()));
    var client = new Client(service.address, 1);
    for (var name : List.of("\ud55c\ube5b", "\ubd80\uc0b0", "caf\u00e9", "plain")) {
      get(client.post(HeaderText.utf8(name), "id-" + name.length()));
    }
    var names =
        service.seen.stream()
            .map(
                tag ->
                    new String(tag.getBytes(StandardCharsets.ISO_8859_1), StandardCharsets.UTF_8))
            .toList();
    assertThat(names).containsExactly("\ud55c\ube5b", "\ubd80\uc0b0", "caf\u00e9", "plain");
  }
}
