// Package orders is a stand-in for an order service that counts the executions of each key, and that can be slow, hang,
// refuse a call, or close the connection before or after an execution.
package orders
