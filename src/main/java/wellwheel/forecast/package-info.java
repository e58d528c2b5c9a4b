/** Forecasts of work and of the slots it needs. */
package wellwheel.forecast;
