// Package baseline holds simple schedulers to compare with: each sees the same asks, outcomes and reports as the pool.
package baseline
