/** Frames between nodes, HTTP server and client. */
package wellwheel.transport;
