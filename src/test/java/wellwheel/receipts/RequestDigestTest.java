package wellwheel.receipts;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

class RequestDigestTest {
  private static RequestDigest digest(
      String method, String host, String target, String orderKey, List<String> after, String body) {
    return RequestDigest.of(
        method, host, target, orderKey, after, body.getBytes(StandardCharsets.UTF_8));
  }

  private static final RequestDigest PLAIN =
      digest("POST", "h", "/a?b", "o", List.of("1-x"), "body");

  @Test
  void everythingThatIsAskedForCounts() {
    assertThat(digest("POST", "h", "/a?b", "o", List.of("1-x"), "body")).isEqualTo(PLAIN);
    assertThat(
            List.of(
                digest("PUT", "h", "/a?b", "o", List.of("1-x"), "body"),
                digest("POST", "i", "/a?b", "o", List.of("1-x"), "body"),
                digest("POST", "h", "/a?c", "o", List.of("1-x"), "body"),
                digest("POST", "h", "/a?b", "p", List.of("1-x"), "body"),
                digest("POST", "h", "/a?b", "o", List.of(), "body"),
                digest("POST", "h", "/a?b", "o", List.of("1-x"), "body ")))
        .doesNotContain(PLAIN);
  }

  @Test
  void fieldsDoNotRunIntoEachOther() {
    assertThat(digest("POST", "h", "/a", "bc", List.of(), ""))
        .isNotEqualTo(digest("POST", "h", "/ab", "c", List.of(), ""));
    assertThat(digest("POST", "h", "/a", "b", List.of(), "c"))
        .isNotEqualTo(digest("POST", "h", "/a", "bc", List.of(), ""));
  }

  @Test
  void isReadAsItWasWritten() {
    assertThat(RequestDigest.read(PLAIN.toBytes())).isEqualTo(PLAIN);
    assertThat(RequestDigest.read(new byte[3])).isEqualTo(RequestDigest.NONE);
  }
}
