/** Decides which requests of clients are let in. */
package wellwheel.admission;
