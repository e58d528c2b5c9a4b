/** The operators' command line. */
package wellwheel.cli;
