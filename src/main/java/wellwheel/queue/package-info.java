/** Storage nodes: partitions of messages, replication, pacing, deliveries. */
package wellwheel.queue;
