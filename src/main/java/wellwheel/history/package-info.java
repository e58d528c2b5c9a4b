/** Counts of what the queues went through. */
package wellwheel.history;
