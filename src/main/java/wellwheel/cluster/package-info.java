/** What every node knows of the cluster: its lease, the members, the partition table. */
package wellwheel.cluster;
