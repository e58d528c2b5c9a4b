package wellwheel;

import wellwheel.control.ControlDaemon;
import wellwheel.edge.EdgeDaemon;
import wellwheel.functions.FrontDaemon;
import wellwheel.history.QueueHistory;
import wellwheel.queue.StorageDaemon;
import wellwheel.runtime.NodeRuntime;
import wellwheel.runtime.ResultCode;
import wellwheel.storage.Journal;

/**
 * Starts the daemon of one role: <code>edge</code>, <code>front</code>, <code>storage</code> or
 * <code>control</code>.
 */
public final class Main {
  private static final System.Logger LOG = System.getLogger("main");
  private static final int USAGE_STATUS = 64;
  private static final int BAD_STATE_STATUS = 79;

  private Main() {}

  private static void storage() throws InterruptedException {
    try {
      new StorageDaemon(NodeRuntime.start());
    } catch (Journal.Unreadable e) {
      stop(e.code(), e.getMessage());
    } catch (QueueHistory.Unreadable | IllegalArgumentException e) {
      stop(ResultCode.BAD_STATE, e.getMessage());
    }
  }

  private static void stop(ResultCode code, String why) {
    LOG.log(System.Logger.Level.ERROR, "code=" + code.number() + " " + why);
    System.out.flush();
    Runtime.getRuntime().halt(BAD_STATE_STATUS);
  }

  public static void main(String[] arguments) throws Exception {
    var role = arguments.length == 1 ? arguments[0] : "";
    switch (role) {
      case "edge" -> new EdgeDaemon(NodeRuntime.start());
      case "front" -> new FrontDaemon(NodeRuntime.start());
      case "storage" -> storage();
      case "control" -> ControlDaemon.main(new String[0]);
      case "warmup" -> Warmup.run();
      default -> {
        LOG.log(System.Logger.Level.ERROR, "usage: wellwheel.Main edge|front|storage|control");
        System.exit(USAGE_STATUS);
      }
    }
  }
}
