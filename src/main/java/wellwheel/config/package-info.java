/** The operators' configuration and a node's own options. */
package wellwheel.config;
