/** Edge nodes: client HTTP, admission, worker pulls, look-ups. */
package wellwheel.edge;
