package wellwheel.transport;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Supplier;
import wellwheel.runtime.EventQueue;

/**
 * The links between the nodes of a model, as {@link Links} makes them: a connection each way, a
 * greeting before the first frame, frames that tell how long they were held, peers that are given
 * up when they stay silent.
 */
public final class ModelLinks {
  /** How long a frame is on its way on a link that is well. */
  public static final long LINK_US = 900;

  /** When a peer that does not answer is given up: the wait for a ping and for its answer. */
  private static final long SILENCE_US = 950_000;

  private static final long CONNECT_US = 400_000;
  private static final long GREETING_US = 750_000;

  /** Bytes of an old connection may come so much later than those of a new one. */
  private static final int OLD_LAG_US = 200_000;

  /** The nodes of the model. */
  public interface Host {
    /** Something comes for a node, which makes a frame of it once its process reads it. */
    void deliver(String from, String to, Supplier<Frame> read);

    void unsent(String from, String to, Frame frame);

    void down(String from, String to);
  }

  /** How a link fails, one way. */
  public enum Fault {
    /** No connection comes up: what was to be sent is told unsent when that is known. */
    UNREACHABLE,

    /** What is sent is lost; the silence breaks the connection, and no other comes up. */
    SILENT,

    /** What is sent lies on the link until it opens, and comes then, whoever has given it up. */
    HELD
  }

  private final class Connection {
    final long greetedUs = time.nowUs;
    final TransitDelay delay = new TransitDelay(time.nowUs + LINK_US);
    boolean watched;

    Frame arrived(byte[] bytes, long sentUs) {
      var stamp = TransitDelay.stampOf(sentUs - greetedUs);
      return Frame.unpack(bytes).delayedBy(delay.delayUs(stamp, time.nowUs));
    }
  }

  private record Ungreeted(Frame frame, long sentUs) {}

  private record Held(Connection connection, byte[] bytes, long sentUs) {}

  private final class Link {
    final String from;
    final String to;
    Fault fault;
    long faultUntilUs;
    Connection connection;
    final List<Held> held = new ArrayList<>();
    List<Ungreeted> ungreeted = new ArrayList<>();

    Link(String from, String to) {
      this.from = from;
      this.to = to;
    }
  }

  private final EventQueue time;
  private final Random random;
  private final Host host;
  private final Map<String, Link> links = new HashMap<>();

  public ModelLinks(EventQueue time, Random random, Host host) {
    this.time = time;
    this.random = random;
    this.host = host;
  }

  private Link link(String from, String to) {
    return links.computeIfAbsent(from + ">" + to, key -> new Link(from, to));
  }

  /** Sends a frame over the link from one node to another. */
  public void send(String from, String to, Frame frame) {
    if (from.equals(to)) {
      var bytes = frame.pack();
      time.after(1, () -> host.deliver(from, to, () -> Frame.unpack(bytes).delayedBy(0)));
      return;
    }
    var link = link(from, to);
    if (link.fault == Fault.UNREACHABLE || link.connection == null && isDark(link)) {
      awaitGreeting(link, frame);
    } else {
      write(link, frame, time.nowUs);
    }
  }

  /** Whether no greeting passes, or no answer to it. */
  private boolean isDark(Link link) {
    var back = link(link.to, link.from).fault;
    return link.fault != null || back == Fault.SILENT || back == Fault.HELD;
  }

  private void write(Link link, Frame frame, long sentUs) {
    if (link.connection == null) {
      link.connection = new Connection();
    }
    var connection = link.connection;
    var bytes = frame.pack();
    if (isDark(link)) {
      watch(link, connection);
    }
    if (link.fault == Fault.HELD) {
      link.held.add(new Held(connection, bytes, sentUs));
    } else if (link.fault == null) {
      time.after(
          LINK_US, () -> host.deliver(link.from, link.to, () -> connection.arrived(bytes, sentUs)));
    }
  }

  /** The connection is given up if its peer is silent for too long. */
  private void watch(Link link, Connection connection) {
    if (connection.watched) {
      return;
    }
    connection.watched = true;
    time.after(
        SILENCE_US,
        () -> {
          connection.watched = false;
          if (link.connection == connection && isDark(link)) {
            link.connection = null;
            host.down(link.from, link.to);
          }
        });
  }

  private void awaitGreeting(Link link, Frame frame) {
    link.ungreeted.add(new Ungreeted(frame, time.nowUs));
    if (link.ungreeted.size() > 1) {
      return;
    }
    var waiting = link.ungreeted;
    var waitUs = link.fault == Fault.UNREACHABLE ? CONNECT_US : GREETING_US;
    time.after(
        waitUs,
        () -> {
          if (link.ungreeted == waiting && !waiting.isEmpty()) {
            link.ungreeted = new ArrayList<>();
            waiting.forEach(each -> host.unsent(link.from, link.to, each.frame()));
            host.down(link.from, link.to);
          }
        });
  }

  /** The link from one node to another fails for some time, unless it does so already. */
  public void fail(String from, String to, Fault fault, long spanUs) {
    var link = link(from, to);
    if (link.fault != null) {
      return;
    }
    link.fault = fault;
    if (fault == Fault.UNREACHABLE) {
      link.connection = null;
    }
    time.after(spanUs, () -> heal(link));
  }

  private void heal(Link link) {
    link.fault = null;
    var held = List.copyOf(link.held);
    link.held.clear();
    var lagUs = random.nextInt(OLD_LAG_US);
    for (var each : held) {
      time.after(
          lagUs,
          () ->
              host.deliver(
                  link.from,
                  link.to,
                  () -> each.connection().arrived(each.bytes(), each.sentUs())));
    }
    greet(link);
    greet(link(link.to, link.from));
  }

  private void greet(Link link) {
    if (isDark(link)) {
      return;
    }
    var waiting = link.ungreeted;
    link.ungreeted = new ArrayList<>();
    waiting.forEach(each -> write(link, each.frame(), each.sentUs()));
  }

  /** Connections with a node that is no more are gone. */
  public void reset(String ip) {
    links.values().stream()
        .filter(link -> link.from.equals(ip) || link.to.equals(ip))
        .forEach(link -> link.connection = null);
  }
}
