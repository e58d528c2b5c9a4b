/** What every record that a partition keeps on all of its copies has in common. */
package wellwheel.replication;
