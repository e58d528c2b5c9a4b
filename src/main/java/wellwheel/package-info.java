/** Programs of the daemons. */
package wellwheel;
