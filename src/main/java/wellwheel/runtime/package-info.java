/** Event loop, clock, logs and result codes of a process. */
package wellwheel.runtime;
