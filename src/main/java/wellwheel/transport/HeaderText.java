package wellwheel.transport;

import java.nio.charset.StandardCharsets;

/** Text of header fields beyond ASCII. */
public final class HeaderText {
  private HeaderText() {}

  /**
   * The value to put into a header so that the bytes of the text in UTF-8 go out. Header fields are
   * written one byte a character, and a character that does not fit would go out as a question
   * mark.
   */
  public static String utf8(String text) {
    return new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
  }
}
