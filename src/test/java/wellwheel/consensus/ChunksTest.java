package wellwheel.consensus;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import wellwheel.transport.Frame;

class ChunksTest {
  private static byte[] bytes(Random random, int length) {
    var bytes = new byte[length];
    random.nextBytes(bytes);
    return bytes;
  }

  private static final class Road {
    final Random random;
    final List<Frame> there = new ArrayList<>();
    ChunkReceiver receiver = new ChunkReceiver();
    long sentBytes;
    int starts;

    Road(long seed) {
      random = new Random(seed);
    }

    void put(Frame chunk) {
      assertThat(there.size()).isAtMost(2 * ChunkSender.WINDOW / ChunkSender.CHUNK + 8);
      sentBytes += chunk.bytes("bytes").length;
      there.add(Frame.unpack(chunk.with("term", 3L).pack()));
      if (random.nextInt(10) == 0) {
        there.add(chunk);
      }
    }

    Optional<byte[]> turn(ChunkSender sender) {
      if (random.nextInt(60) == 0) {
        receiver = new ChunkReceiver();
        starts++;
      }
      if (there.isEmpty() || random.nextInt(40) == 0) {
        there.clear();
        sender.rewind();
        sender.pump(this::put);
        return Optional.empty();
      }
      var chunk = there.remove(random.nextInt(5) == 0 ? random.nextInt(there.size()) : 0);
      var taken = receiver.take("10.0.0.1", chunk);
      if (taken.answers() && random.nextInt(20) > 0) {
        sender.acknowledged(taken.have());
        sender.pump(this::put);
      }
      return taken.whole();
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void aPayloadArrivesWholeOverAnyRoad(long seed) {
    var road = new Road(seed);
    var payload = bytes(road.random, 1 + road.random.nextInt(40 * ChunkSender.CHUNK));
    var sender = new ChunkSender(7, payload);
    sender.pump(road::put);
    var got = Optional.<byte[]>empty();
    for (var turn = 0; turn < 100_000 && got.isEmpty(); turn++) {
      got = road.turn(sender);
    }
    assertThat(got.orElseThrow()).isEqualTo(payload);
    assertThat(road.sentBytes)
        .isLessThan((road.starts + 4L) * (payload.length + 6L * ChunkSender.WINDOW) * 2);
  }

  private static List<Frame> chunksOf(long id, byte[] payload) {
    var sender = new ChunkSender(id, payload);
    var all = new ArrayList<Frame>();
    var have = 0;
    while (have < payload.length) {
      sender.pump(chunk -> all.add(chunk.with("term", 3L)));
      have = Math.min(payload.length, all.size() * ChunkSender.CHUNK);
      sender.acknowledged(have);
    }
    return all;
  }

  @Test
  void whatIsDamagedDoubledOldOrAbsurdIsRefusedAndCounted() {
    var payload = bytes(new Random(9), 5 * ChunkSender.CHUNK);
    var chunks = chunksOf(9, payload);
    var receiver = new ChunkReceiver();
    var damaged =
        Frame.unpack(chunks.get(2).pack()).with("bytes", bytes(new Random(10), ChunkSender.CHUNK));
    for (var index = 0; index < 5; index++) {
      assertThat(receiver.take("a", index == 2 ? damaged : chunks.get(index)).whole().isPresent())
          .isFalse();
    }
    assertThat(receiver.refused()).isEqualTo(1);
    chunks.forEach(chunk -> receiver.take("a", chunk));
    assertThat(receiver.take("a", chunks.get(0)).answers()).isFalse();
    assertThat(receiver.refused()).isEqualTo(2);
    assertThat(receiver.take("a", chunksOf(8, payload).get(0)).answers()).isFalse();
    for (var absurd :
        List.of(
            Frame.of("raft.chunk").with("id", 11L),
            Frame.unpack(chunks.get(0).pack()).with("id", 11L).with("total", Long.MAX_VALUE),
            Frame.unpack(chunks.get(0).pack()).with("id", 11L).with("offset", -1L),
            Frame.unpack(chunks.get(0).pack())
                .with("id", 11L)
                .with("offset", 5L * ChunkSender.CHUNK))) {
      assertThat(receiver.take("a", absurd).answers()).isFalse();
    }
    assertThat(receiver.refused()).isEqualTo(7);
  }

  @Test
  void aNewerPayloadBeginsAgainAndTheOlderOneIsDropped() {
    var older = bytes(new Random(1), 3 * ChunkSender.CHUNK);
    var newer = bytes(new Random(2), 2 * ChunkSender.CHUNK);
    var receiver = new ChunkReceiver();
    receiver.take("a", chunksOf(1, older).get(0));
    receiver.take("a", chunksOf(2, newer).get(0));
    assertThat(receiver.take("a", chunksOf(1, older).get(1)).answers()).isFalse();
    assertThat(receiver.take("a", chunksOf(2, newer).get(1)).whole().orElseThrow())
        .isEqualTo(newer);
  }
}
