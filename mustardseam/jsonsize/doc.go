// Package jsonsize estimates the memory of a JSON text before it is decoded.
package jsonsize
