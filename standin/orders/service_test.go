package orders

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// TestExecutionsAreCountedUnderFaults guards against an execution that is not counted, and against the count of one
// that a fault prevented.
func TestExecutionsAreCountedUnderFaults(t *testing.T) {
	tests := []struct {
		name   string
		faults Faults
		status int // 0 for a broken connection.
		runs   int // After a second call without faults.
	}{
		{"none", Faults{}, 200, 2},
		{"down", Faults{Down: true}, 0, 1},
		{"refused", Faults{Refuse: 1}, 503, 1},
		{"fails before", Faults{FailBefore: 1}, 500, 1},
		{"crashes before", Faults{CrashBefore: 1}, 0, 1},
		{"crashes after", Faults{CrashAfter: 1}, 0, 2},
		{"hangs", Faults{Hang: 1}, 0, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			s := &Service{Version: "v7"}
			var wg sync.WaitGroup
			wg.Go(func() { _ = s.Serve(ln) })
			defer wg.Wait()
			defer func() { _ = ln.Close() }()
			call := func(path string) (int, string) {
				req, err := http.NewRequest("POST", "http://"+ln.Addr().String()+path, nil)
				assert.NilError(t, err)
				if path == "/load" {
					req.Method = "GET"
				}
				req.Header.Set("Idempotency-Key", "k")
				req.Close = true
				resp, err := http.DefaultClient.Do(req)
				if err != nil {
					return 0, ""
				}
				defer func() { _ = resp.Body.Close() }()
				b, _ := io.ReadAll(resp.Body)
				assert.Equal(t, resp.Header.Get("X-Not-Admitted") != "", resp.StatusCode == 503)
				return resp.StatusCode, string(b)
			}
			s.SetFaults(tt.faults)
			if tt.faults.Hang > 0 {
				s.Close()
			}
			status, _ := call("/reserve")
			assert.Equal(t, status, tt.status)
			s.SetFaults(Faults{})
			status, _ = call("/reserve")
			assert.Equal(t, status, 200)
			st := s.Stats()
			assert.Equal(t, s.Runs()["k"], tt.runs)
			assert.DeepEqual(t, []int{st.Calls, st.CallsBy["k"], st.Executed}, []int{2, 2, tt.runs})
			assert.Equal(t, len(st.Repeated), tt.runs-1)
			_, load := call("/load")
			assert.Assert(t, strings.Contains(load, `"sequence":1,`) && strings.Contains(load, `"version":"v7"`), "%s", load)
		})
	}
}
