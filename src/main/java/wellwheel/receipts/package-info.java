/**
 * Receipts for requests that carry an idempotency key, after "Wire Protocol (MHS-002, OpenMHS
 * 0.9)": which partition decides about a key, the digest a key is bound to, the replicated record
 * and the messages between the partition that decides and the one that holds the work.
 */
package wellwheel.receipts;
