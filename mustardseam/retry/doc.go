// Package retry limits the number and the rate of retries. It uses no clock or random source; callers pass in random
// numbers and remaining times.
package retry
