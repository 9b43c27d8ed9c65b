// Package orders is a stand-in of an order service that records each execution by its key.
package orders
