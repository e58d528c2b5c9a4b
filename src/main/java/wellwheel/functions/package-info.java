/**
 * Functions: services whose instances the system starts and stops itself. A front on each edge node
 * takes requests and passes each to the owner of its function, an edge node that alone hands out
 * the slots of the instances it was given; the scaler on the control leader starts, assigns and
 * stops instances.
 */
package wellwheel.functions;
