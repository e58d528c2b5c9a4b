/** Control nodes: leases, membership, placement of partitions, operator calls. */
package wellwheel.control;
