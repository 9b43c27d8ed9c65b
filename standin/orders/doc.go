// Package orders is a stand-in of an order service that records each execution by its key, and that can be slow, hang,
// refuse, or break off before or after an execution.
package orders
