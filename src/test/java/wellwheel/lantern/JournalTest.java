package wellwheel.lantern;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class JournalTest {
    private static final class Memory implements Disk {
        byte[] bytes = {};

        @Override
        public byte[] load(String name) {
            return bytes;
        }

        @Override
        public void append(String name, byte[] more, Runnable synced) {
            var out = new ByteArrayOutputStream();
            out.writeBytes(bytes);
            out.writeBytes(more);
            bytes = out.toByteArray();
            synced.run();
        }

        @Override
        public void rewrite(String name, byte[] whole, Runnable synced) {
            bytes = whole;
            synced.run();
        }
    }

    private static List<String> replayed(Memory disk) {
        var found = new ArrayList<String>();
        new Journal(disk, "j").replay(record -> found.add(new String(record)));
        return found;
    }

    @Test
    void everyTornTailIsCutAtTheLastWholeRecord() {
        var disk = new Memory();
        var journal = new Journal(disk, "j");
        var ends = new ArrayList<Integer>();
        for (var number = 0; number < 20; number++) {
            journal.append(("record " + number).getBytes(), () -> { });
            ends.add(disk.bytes.length);
        }
        var whole = disk.bytes;
        for (var length = 0; length <= whole.length; length++) {
            disk.bytes = Arrays.copyOf(whole, length);
            var limit = length;
            var expected = (int) ends.stream().filter(end -> end <= limit).count();
            assertThat(replayed(disk)).hasSize(expected);
            assertThat(disk.bytes.length).isEqualTo(expected == 0 ? 0 : ends.get(expected - 1));
        }
    }

    @Test
    void noFlippedBitIsReadAsARecord() {
        var luck = new Random(7);
        var disk = new Memory();
        var journal = new Journal(disk, "j");
        for (var number = 0; number < 20; number++) {
            journal.append(("record " + number).getBytes(), () -> { });
        }
        var whole = disk.bytes;
        for (var round = 0; round < 500; round++) {
            disk.bytes = whole.clone();
            disk.bytes[luck.nextInt(whole.length)] ^= (byte) (1 << luck.nextInt(8));
            var found = replayed(disk);
            for (var number = 0; number < found.size(); number++) {
                assertThat(found.get(number)).isEqualTo("record " + number);
            }
            assertThat(found.size()).isLessThan(20);
        }
    }

    @Test
    void aRewrittenJournalHoldsTheRewriteAndWhatFollows() {
        var disk = new Memory();
        var journal = new Journal(disk, "j");
        journal.append("old".getBytes(), () -> { });
        journal.rewrite(List.of("kept".getBytes()), () -> { });
        journal.append("new".getBytes(), () -> { });
        assertThat(replayed(disk)).containsExactly("kept", "new").inOrder();
        assertThat(journal.bytesLong()).isEqualTo(disk.bytes.length);
    }
}
