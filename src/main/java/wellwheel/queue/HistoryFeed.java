package wellwheel.queue;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Optional;
import wellwheel.cluster.ClusterLease;
import wellwheel.config.Configuration;
import wellwheel.history.QueueHistory;
import wellwheel.transport.Frame;

/** Feeds the queue history with what a storage node's messages go through. */
final class HistoryFeed {
  private final QueueHistory history;
  private final ClusterLease clusterLease;
  private final Collection<Partition> partitions;
  private final Collection<Dispatcher> dispatchers;

  HistoryFeed(
      QueueHistory history,
      ClusterLease clusterLease,
      Collection<Partition> partitions,
      Collection<Dispatcher> dispatchers) {
    this.history = history;
    this.clusterLease = clusterLease;
    this.partitions = partitions;
    this.dispatchers = dispatchers;
  }

  /** Takes stock when that is due; what it returns is to be kept by other storage nodes too. */
  Optional<Frame> tick() {
    if (!history.enabled() || !clusterLease.knowsCore()) {
      return Optional.empty();
    }
    history.tick();
    if (!history.flushDue()) {
      return Optional.empty();
    }
    countSlotsOfProcessors();
    countSlotsOfWorkers();
    countWaiting();
    return history.flush();
  }

  private void countSlotsOfProcessors() {
    var slots = new HashMap<String, Long>();
    clusterLease
        .roster()
        .forEach(each -> slots.merge(each.service(), (long) each.capacity(), Long::sum));
    slots.forEach(history::slots);
  }

  private void countSlotsOfWorkers() {
    dispatchers.stream()
        .filter(dispatcher -> isPulled(dispatcher.service))
        .forEach(
            dispatcher ->
                history.slots(
                    dispatcher.service, dispatcher.demands.size() + running(dispatcher.service)));
  }

  private boolean isPulled(String service) {
    return clusterLease
        .configuration()
        .service(service)
        .map(Configuration.Service::pull)
        .orElse(false);
  }

  private void countWaiting() {
    var waiting = new HashMap<List<String>, Long>();
    partitions.stream()
        .filter(partition -> partition.open)
        .flatMap(partition -> partition.messages().stream())
        .filter(message -> message.waiting() && message.dueUs <= clusterLease.coreUs())
        .forEach(
            message -> waiting.merge(List.of(message.tenant, serviceOf(message)), 1L, Long::sum));
    waiting.forEach((key, count) -> history.waits(key.get(0), key.get(1), count));
  }

  private String serviceOf(Message message) {
    return message.serviceUnder(clusterLease.configuration());
  }

  /** A message has got its place. */
  void arrived(Message message) {
    if (history.enabled()) {
      history.arrived(message.tenant, serviceOf(message), message.dueUs);
    }
  }

  /** A message has ended. */
  void ended(Message message, boolean well) {
    if (history.enabled()) {
      history.ended(message.tenant, serviceOf(message), well);
    }
  }

  private long running(String service) {
    return partitions.stream()
        .filter(partition -> partition.open)
        .flatMap(partition -> partition.messages().stream())
        .filter(message -> message.running && serviceOf(message).equals(service))
        .count();
  }

  /** An attempt at a service begins. */
  void attemptBegins(Message message, String service) {
    message.attemptSinceUs = clusterLease.coreUs();
    history.starts(
        message.tenant,
        service,
        message.attemptSinceUs - Math.max(message.freedUs, message.dueUs),
        message.aimUs,
        message.attempt == 1);
  }

  /** The attempt that runs, if any, is over. */
  void attemptEnds(Message message) {
    if (message.attemptSinceUs > 0 && history.enabled()) {
      history.legEnds(
          message.tenant, serviceOf(message), clusterLease.coreUs() - message.attemptSinceUs);
    }
    message.attemptSinceUs = 0;
  }
}
