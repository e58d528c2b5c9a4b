/** The replicated log of the control nodes. */
package wellwheel.consensus;
