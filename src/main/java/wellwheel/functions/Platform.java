package wellwheel.functions;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** The platform that runs instances on worker machines. */
interface Platform {
  /** An instance on the platform's list. */
  record Listed(
      String id, String service, String address, String zone, String worker, boolean draining) {}

  /** A worker machine. */
  record Worker(String name, String zone, int freeMb, boolean ready) {}

  /** What became of a start. */
  sealed interface Start {
    /** The instance that is starting now. */
    record Begun(String id, String address) implements Start {}

    /** The worker takes no instance; another one may. */
    record NoRoom() implements Start {}

    /** Not carried out now, or nothing is known; the same key may be sent again. */
    record Unclear() implements Start {}
  }

  /**
   * Starts an instance.
   *
   * @param key names this start: sent again, it makes no second instance
   */
  void start(String service, String worker, String key, long fence, Consumer<Start> done);

  /** Stops an instance; tells whether it is surely stopped or unknown. */
  void stop(String id, long fence, Consumer<Boolean> done);

  /** Reads all instances; empty if the list did not come whole. */
  void instances(Consumer<Optional<List<Listed>>> done);

  /** Reads all workers; empty if they did not come. */
  void workers(Consumer<Optional<List<Worker>>> done);
}
