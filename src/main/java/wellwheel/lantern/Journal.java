package wellwheel.lantern;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.function.Consumer;
import java.util.zip.CRC32;

public final class Journal {
    private static final System.Logger LOG = System.getLogger("journal");
    private static final int HEAD = 8;
    private final Disk disk;
    private final String name;
    private long bytesLong;

    public Journal(Disk disk, String name) {
        this.disk = disk;
        this.name = name;
    }

    public long bytesLong() {
        return bytesLong;
    }

    public int replay(Consumer<byte[]> reader) {
        var whole = disk.load(name);
        var buffer = ByteBuffer.wrap(whole);
        var records = 0;
        var soundEnd = 0;
        while (buffer.remaining() >= HEAD) {
            var length = buffer.getInt();
            var sum = buffer.getInt();
            if (length <= 0 || length > buffer.remaining()) {
                break;
            }
            var record = new byte[length];
            buffer.get(record);
            if (sum != sumOf(record)) {
                break;
            }
            reader.accept(record);
            records++;
            soundEnd = buffer.position();
        }
        bytesLong = soundEnd;
        if (soundEnd < whole.length) {
            LOG.log(System.Logger.Level.WARNING, "code=" + Codes.JOURNAL_CUT.number() + " journal " + name + " cut at byte " + soundEnd + " of " + whole.length);
            disk.rewrite(name, java.util.Arrays.copyOf(whole, soundEnd), () -> { });
        }
        return records;
    }

    public int replaySkipping(Consumer<Frame> reader) {
        var buffer = ByteBuffer.wrap(disk.load(name));
        var damaged = 0;
        while (buffer.remaining() >= HEAD) {
            var length = buffer.getInt();
            var sum = buffer.getInt();
            if (length <= 0 || length > buffer.remaining()) {
                return damaged + 1;
            }
            var record = new byte[length];
            buffer.get(record);
            try {
                if (sum == sumOf(record)) {
                    reader.accept(Frame.unpack(record));
                } else {
                    damaged++;
                }
            } catch (IllegalArgumentException e) {
                damaged++;
            }
        }
        bytesLong = Math.max(bytesLong, buffer.position());
        return damaged;
    }

    public void append(byte[] record, Runnable synced) {
        var framed = framed(record);
        bytesLong += framed.length;
        disk.append(name, framed, synced);
    }

    public void rewrite(List<byte[]> records, Runnable synced) {
        var out = new ByteArrayOutputStream();
        records.forEach(record -> out.writeBytes(framed(record)));
        bytesLong = out.size();
        disk.rewrite(name, out.toByteArray(), synced);
    }

    private static byte[] framed(byte[] record) {
        return ByteBuffer.allocate(HEAD + record.length).putInt(record.length).putInt(sumOf(record)).put(record).array();
    }

    private static int sumOf(byte[] record) {
        var sum = new CRC32();
        sum.update(record);
        return (int) sum.getValue();
    }
}
