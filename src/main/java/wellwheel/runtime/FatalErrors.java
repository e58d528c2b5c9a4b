package wellwheel.runtime;

import java.nio.charset.StandardCharsets;

/**
 * Ends the process on an {@link Error}. After one, state in memory may be half changed and a timer
 * may be gone, so the node goes on from its disk in a new process and never lives on in silence.
 */
public final class FatalErrors {
  /** Exit status of a process that an Error ended. */
  public static final int STATUS = 70;

  private static final System.Logger LOG = System.getLogger("runtime");

  /** Made beforehand, as there may be no memory left to make it. */
  private static final byte[] LAST_LINE =
      ("{\"level\":\"ERROR\",\"from\":\"runtime\",\"text\":\"code="
              + ResultCode.FATAL.number()
              + " an error ends the process\"}\n")
          .getBytes(StandardCharsets.UTF_8);

  private FatalErrors() {}

  /**
   * Ends the process if the cause is an Error. An AssertionError, which only runs with assertions
   * enabled throw, is left to the caller.
   */
  public static void check(Throwable cause) {
    if (cause instanceof Error && !(cause instanceof AssertionError)) {
      end((Error) cause);
    }
  }

  private static void end(Error error) {
    try {
      System.out.write(LAST_LINE, 0, LAST_LINE.length);
      System.out.flush();
      LOG.log(System.Logger.Level.ERROR, "code=" + ResultCode.FATAL.number(), error);
      System.out.flush();
    } finally {
      Runtime.getRuntime().halt(STATUS);
    }
  }
}
