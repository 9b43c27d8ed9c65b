package cluster

import (
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// BenchmarkRequestPath measures the overhead of an instance: the time of a complete order through the home of the pool
// and through another instance, compared with a direct call to the service. Allocations are those of the whole process.
func BenchmarkRequestPath(b *testing.B) {
	c, err := New(Config{Site: Qasr(), Instances: 2})
	assert.NilError(b, err)
	defer c.Close()
	assert.NilError(b, c.WaitReady(waitTimeout))
	for _, s := range c.Orders {
		s.Delay = 0
	}
	home := c.homeOf(ServicePool)
	client := NewClient()
	var direct string
	for _, server := range c.Document().BackendServers {
		if server.Pool == ServicePool {
			direct = server.Address
		}
	}
	b.Run("direct", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			status, _, err := fasthttp.Post(nil, "http://"+direct+"/reserve", nil)
			assert.NilError(b, err)
			assert.Equal(b, status, 200)
		}
	})
	for name, n := range map[string]int{"home": home, "other": 1 - home} {
		addr := c.Instance(n).CallerAddress()
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				a, err := client.Order(addr, "key-leather", "leather", "", time.Second)
				assert.NilError(b, err)
				assert.Equal(b, a.Status, 200)
			}
		})
	}
}
