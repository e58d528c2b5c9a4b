/** Whole clusters in one process under a seeded clock, for tests and measurements. */
package wellwheel.simulation;
