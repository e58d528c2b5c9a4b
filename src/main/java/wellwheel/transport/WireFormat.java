package wellwheel.transport;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.OptionalInt;

/**
 * How frames stand on a connection: four bytes of length, a mark and a stamp of four bytes where
 * there is one, the packed frame. MessagePack never begins with the mark.
 */
final class WireFormat {
  static final int LENGTH_BYTES = 4;
  private static final int STAMP_MARK = 0xc1;
  private static final int STAMP_BYTES = 5;

  private WireFormat() {}

  static ByteBuf framed(byte[] bytes) {
    return Unpooled.buffer(LENGTH_BYTES + bytes.length).writeInt(bytes.length).writeBytes(bytes);
  }

  static ByteBuf stamped(int stamp, byte[] bytes) {
    return Unpooled.buffer(LENGTH_BYTES + STAMP_BYTES + bytes.length)
        .writeInt(STAMP_BYTES + bytes.length)
        .writeByte(STAMP_MARK)
        .writeInt(stamp)
        .writeBytes(bytes);
  }

  /** The stamp with which a frame without its length begins, if there is one. */
  static OptionalInt readStamp(ByteBuf buffer) {
    if (buffer.getUnsignedByte(buffer.readerIndex()) != STAMP_MARK) {
      return OptionalInt.empty();
    }
    buffer.skipBytes(1);
    return OptionalInt.of(buffer.readInt());
  }

  static Frame readFrame(ByteBuf buffer) {
    var bytes = new byte[buffer.readableBytes()];
    buffer.readBytes(bytes);
    return Frame.unpack(bytes);
  }
}
