package wellwheel.edge;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import wellwheel.transport.Frame;

class RateLimiterTest {
  private static final long WINDOW_US = 5_000_000;
  private long nowUs = 1_000_000_000;

  private RateLimiter limiter(String name) {
    return new RateLimiter(name, WINDOW_US, () -> nowUs);
  }

  private static Frame wired(Frame frame) {
    return Frame.unpack(frame.pack());
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void noSpanAdmitsMoreThanItsBucket(long seed) {
    var random = new Random(seed);
    var limiter = limiter("a");
    var limit = new RateLimiter.Limit(50, 30);
    var admitted = new ArrayList<Long>();
    var untilUs = nowUs + 20_000_000;
    while (nowUs < untilUs) {
      nowUs += random.nextInt(random.nextInt(100) == 0 ? 400_000 : 8_000);
      if (limiter.hit("t", limit, 1).admitted()) {
        admitted.add(nowUs);
      }
    }
    for (var first = 0; first < admitted.size(); first++) {
      for (var last = first;
          last < admitted.size() && admitted.get(last) - admitted.get(first) <= WINDOW_US;
          last++) {
        var spanUs = admitted.get(last) - admitted.get(first);
        assertThat((double) (last - first + 1))
            .isAtMost(30 + 50 * (spanUs + RateLimiter.SCALE_US) / 1e6 + 1);
      }
    }
    assertThat(admitted.size()).isAtLeast(50 * 20 * 8 / 10);
  }

  @Test
  void deltasCountAtPeersAndLostOnesAreHealedByTotals() {
    var a = limiter("a");
    var b = limiter("b");
    var wide = new RateLimiter.Limit(1000, 1000);
    a.hit("t", wide, 1);
    assertThat(b.take(wired(a.drain()))).isTrue();
    a.hit("t", wide, 1);
    a.drain();
    a.hit("t", wide, 1);
    assertThat(b.take(wired(a.drain()))).isFalse();
    b.takeTotals(wired(a.totals("a")));
    assertThat(b.sum("t")).isEqualTo(3);
    b.takeTotals(wired(a.totals("a")));
    assertThat(b.sum("t")).isEqualTo(3);
    var again = wired(a.drain());
    assertThat(b.take(again)).isTrue();
    assertThat(b.take(again)).isTrue();
    assertThat(b.sum("t")).isEqualTo(3);
  }

  @Test
  void aRestartedNodeLearnsTheLiveWindowsOfAllSenders() {
    var a = limiter("a");
    var b = limiter("b");
    var wide = new RateLimiter.Limit(1000, 1000);
    for (var hit = 0; hit < 5; hit++) {
      a.hit("t", wide, 1);
    }
    b.hit("t", wide, 1);
    b.take(wired(a.drain()));
    var reborn = limiter("a2");
    b.everything().forEach(totals -> reborn.takeTotals(wired(totals)));
    assertThat(reborn.sum("t")).isEqualTo(6);
  }

  @Test
  void endedWindowsAreDroppedOnBothSides() {
    var a = limiter("a");
    var b = limiter("b");
    a.hit("t", new RateLimiter.Limit(10, 10), 1);
    var late = a.totals("a");
    nowUs += 2 * WINDOW_US;
    assertThat(a.drain().list("rows")).isEmpty();
    b.takeTotals(wired(late));
    assertThat(b.sum("t")).isEqualTo(0);
  }

  @Test
  void hitsOfTheNewestLifeCountAfterHundredsOfRestarts() {
    var b = limiter("b");
    var wide = new RateLimiter.Limit(1_000_000, 1_000_000);
    for (var life = 0; life < 1000; life++) {
      var a = limiter("a#" + life);
      a.hit("t", wide, 1);
      assertThat(b.take(wired(a.drain()))).isTrue();
    }
    assertThat(b.sum("t")).isEqualTo(1000);
  }

  @Test
  void aQuietSenderUsesUpNoNumbersAndALostLastDeltaIsNoticed() {
    var a = limiter("a");
    var b = limiter("b");
    var wide = new RateLimiter.Limit(1000, 1000);
    assertThat(b.take(wired(a.drain()))).isTrue();
    assertThat(a.drain().number("n")).isEqualTo(a.drain().number("n"));
    a.hit("t", wide, 1);
    a.drain();
    assertThat(b.take(wired(a.drain()))).isFalse();
    b.takeTotals(wired(a.totals("a")));
    assertThat(b.sum("t")).isEqualTo(1);
    assertThat(b.take(wired(a.drain()))).isTrue();
  }

  @Test
  void hitsGivenBackAreFreeAgainEverywhere() {
    var a = limiter("a");
    var b = limiter("b");
    var limit = new RateLimiter.Limit(0, 1);
    assertThat(a.hit("t", limit, 1).admitted()).isTrue();
    assertThat(a.hit("t", limit, 1).admitted()).isFalse();
    b.take(wired(a.drain()));
    assertThat(b.hit("t", limit, 1).admitted()).isFalse();
    a.giveBack("t");
    b.take(wired(a.drain()));
    assertThat(b.hit("t", limit, 1).admitted()).isTrue();
  }

  @Test
  void keysAreBoundedAndTheColdestLeaves() {
    var limiter = limiter("a");
    var limit = new RateLimiter.Limit(10, 10);
    limiter.hit("first", limit, 1);
    for (var key = 0; key < 10_000; key++) {
      limiter.hit("k" + key, limit, 1);
    }
    assertThat(limiter.keys()).isAtMost(4096);
    assertThat(limiter.sum("first")).isEqualTo(0);
    assertThat(List.of(limiter.sum("k9999"))).containsExactly(1L);
  }

  @Test
  void aPartAdmitsOnlyItsShare() {
    var limiter = limiter("a");
    var limit = new RateLimiter.Limit(10, 40);
    var admitted = 0;
    for (var hit = 0; hit < 100; hit++) {
      admitted += limiter.hit("t", limit, 0.25).admitted() ? 1 : 0;
    }
    assertThat(admitted).isAtMost(10);
  }
}
