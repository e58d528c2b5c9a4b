package wellwheel.lantern;

import io.netty.bootstrap.Bootstrap;
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
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

public final class Caller {
    private static final int ANSWER_MOST = 8 << 20;
    private static final int WAITING_MOST = 4096;
    private static final long IDLE_US = 4_000_000;
    private static final int CONNECT_MS = 500;

    public enum Fate { ANSWERED, NOT_SENT, UNKNOWN }

    public record Call(String address, String method, String target, List<String> headers, byte[] body, long waitUs, int mostConnections, String echo) { }

    public record Answer(Fate fate, int status, Map<String, String> headers, byte[] body) {
        static Answer of(Fate fate) {
            return new Answer(fate, 0, Map.of(), new byte[0]);
        }

        public String header(String name) {
            return headers.getOrDefault(name.toLowerCase(java.util.Locale.ROOT), "");
        }
    }

    private final class Job {
        final Call call;
        final Consumer<Answer> done;
        Clock.Schedule timeout = () -> { };
        boolean over;
        Optional<Line> line = Optional.empty();

        Job(Call call, Consumer<Answer> done) {
            this.call = call;
            this.done = done;
        }

        void finish(Answer answer) {
            if (!over) {
                over = true;
                timeout.cancel();
                LoopClock.guarded(() -> done.accept(answer));
            }
        }
    }

    private final class Line extends SimpleChannelInboundHandler<FullHttpResponse> {
        final Peer peer;
        Channel channel;
        Optional<Job> job = Optional.empty();
        long idleUntilUs;

        Line(Peer peer) {
            this.peer = peer;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            var current = job;
            job = Optional.empty();
            if (current.isEmpty() || response.decoderResult().isFailure()) {
                current.ifPresent(each -> each.finish(Answer.of(Fate.UNKNOWN)));
                context.close();
                return;
            }
            var echo = current.get().call.echo();
            if (!echo.isEmpty() && !echo.equals(response.headers().get("Attempt-Id"))) {
                current.get().finish(Answer.of(Fate.UNKNOWN));
                context.close();
                return;
            }
            var headers = new HashMap<String, String>();
            response.headers().forEach(entry -> headers.put(entry.getKey().toLowerCase(java.util.Locale.ROOT), entry.getValue()));
            var body = new byte[response.content().readableBytes()];
            response.content().readBytes(body);
            if (HttpUtil.isKeepAlive(response) && !peer.gone) {
                idleUntilUs = clock.steadyUs() + keepUs(headers.getOrDefault("keep-alive", ""));
                peer.idle.addFirst(this);
            } else {
                peer.lines.remove(this);
                context.close();
            }
            current.get().finish(new Answer(Fate.ANSWERED, response.status().code(), headers, body));
            peer.pump();
        }

        private static long keepUs(String header) {
            for (var part : header.split(",")) {
                var words = part.trim().split("=");
                if (words.length == 2 && words[0].equals("timeout") && words[1].matches("[0-9]{1,6}")) {
                    return Math.max(200_000, Long.parseLong(words[1]) * 1_000_000 - 500_000);
                }
            }
            return IDLE_US;
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            peer.lines.remove(this);
            peer.idle.remove(this);
            job.ifPresent(each -> each.finish(Answer.of(Fate.UNKNOWN)));
            job = Optional.empty();
            peer.pump();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }

        void send(Job next) {
            job = Optional.of(next);
            next.line = Optional.of(this);
            var call = next.call;
            var request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(call.method()), call.target(), Unpooled.wrappedBuffer(call.body()));
            for (var i = 0; i + 1 < call.headers().size(); i += 2) {
                request.headers().set(call.headers().get(i), call.headers().get(i + 1));
            }
            if (!request.headers().contains(HttpHeaderNames.HOST)) {
                request.headers().set(HttpHeaderNames.HOST, call.address());
            }
            if (call.body().length > 0 || call.method().equals("POST") || call.method().equals("PUT")) {
                request.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, call.body().length);
            }
            channel.writeAndFlush(request);
        }
    }

    private final class Peer {
        final String address;
        final Set<Line> lines = new HashSet<>();
        final ArrayDeque<Line> idle = new ArrayDeque<>();
        final ArrayDeque<Job> waiting = new ArrayDeque<>();
        int connecting;
        int most = 1;
        boolean gone;

        Peer(String address) {
            this.address = address;
        }

        void pump() {
            while (!waiting.isEmpty()) {
                if (waiting.peekFirst().over) {
                    waiting.pollFirst();
                    continue;
                }
                var line = idleLine();
                if (line.isPresent()) {
                    line.get().send(waiting.pollFirst());
                } else if (lines.size() + connecting < most && connecting < waiting.size()) {
                    connect();
                } else {
                    return;
                }
            }
        }

        private Optional<Line> idleLine() {
            while (!idle.isEmpty()) {
                var line = idle.pollFirst();
                if (line.channel.isActive() && clock.steadyUs() < line.idleUntilUs) {
                    return Optional.of(line);
                }
                lines.remove(line);
                line.channel.close();
            }
            return Optional.empty();
        }

        private void connect() {
            connecting++;
            var line = new Line(this);
            new Bootstrap().group(loop).channel(NioSocketChannel.class).option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS).option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline().addLast(new HttpClientCodec(4096, 16384, 8192), new HttpObjectAggregator(ANSWER_MOST), line);
                    }
                }).connect(Options.hostOf(address), Options.portOf(address)).addListener((io.netty.channel.ChannelFuture future) -> connected(line, future));
        }

        private void connected(Line line, io.netty.channel.ChannelFuture future) {
            connecting--;
            if (future.isSuccess()) {
                line.channel = future.channel();
                line.idleUntilUs = clock.steadyUs() + IDLE_US;
                lines.add(line);
                idle.addFirst(line);
                pump();
                return;
            }
            if (lines.isEmpty() && connecting == 0) {
                var failed = List.copyOf(waiting);
                waiting.clear();
                failed.forEach(job -> job.finish(Answer.of(Fate.NOT_SENT)));
            }
        }
    }

    private final EventLoop loop;
    private final LoopClock clock;
    private final Map<String, Peer> peers = new HashMap<>();

    public Caller(EventLoop loop, LoopClock clock) {
        this.loop = loop;
        this.clock = clock;
    }

    public void call(Call call, Consumer<Answer> done) {
        var peer = peers.computeIfAbsent(call.address(), Peer::new);
        var job = new Job(call, done);
        if (peer.waiting.size() >= WAITING_MOST) {
            job.finish(Answer.of(Fate.NOT_SENT));
            return;
        }
        peer.most = call.mostConnections();
        job.timeout = clock.after(call.waitUs(), () -> expire(job));
        peer.waiting.addLast(job);
        peer.pump();
    }

    private void expire(Job job) {
        var sent = job.line.isPresent();
        job.finish(Answer.of(sent ? Fate.UNKNOWN : Fate.NOT_SENT));
        job.line.ifPresent(line -> {
            line.job = Optional.empty();
            line.peer.lines.remove(line);
            line.channel.close();
        });
    }

    public void forget(String address) {
        Optional.ofNullable(peers.remove(address)).ifPresent(peer -> {
            peer.gone = true;
            List.copyOf(peer.idle).forEach(line -> line.channel.close());
        });
    }
}
