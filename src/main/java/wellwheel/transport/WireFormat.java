package wellwheel.transport;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/** How frames stand on a connection: four bytes of length, the packed frame. */
final class WireFormat {
  static final int LENGTH_BYTES = 4;

  private WireFormat() {}

  static ByteBuf framed(byte[] bytes) {
    return Unpooled.buffer(LENGTH_BYTES + bytes.length).writeInt(bytes.length).writeBytes(bytes);
  }

  static Frame readFrame(ByteBuf buffer) {
    var bytes = new byte[buffer.readableBytes()];
    buffer.readBytes(bytes);
    return Frame.unpack(bytes);
  }
}
