// Package drive simulates a scheduler, its entry instances and modelled backend servers under a sequence of arrivals.
package drive
