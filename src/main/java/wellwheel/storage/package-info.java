/** Files that outlive a loss of power. */
package wellwheel.storage;
