// Package drive runs a scheduler, its entry instances and the modelled backend servers over the arrivals of a run.
package drive
