package autoscale

import "time"

// Config holds the limits and the delays of a service.
type Config struct {
	Min  int           // Minimum number of backend servers in each data centre.
	Max  int           // Maximum number of backend servers in each data centre.
	Boot time.Duration // Time from an order until new backend servers serve.
	Cold time.Duration // Time for which new backend servers take little load.
}

// leadTime is the time from an order until its backend servers take full load. An order for a load that ends earlier is lost.
func (c Config) leadTime() time.Duration { return c.Boot + c.Cold }

// clamp returns a number of backend servers of a data centre within the limits.
func (c Config) clamp(n int) int { return max(c.Min, min(c.Max, n)) }
