package engine

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// countingConn counts the bytes of a connection in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, &l.bytes}, err
}

// BenchmarkReport measures reading a load report and cache events over loopback. The time includes the answering side;
// the bytes exclude the TCP and IP headers.
func BenchmarkReport(b *testing.B) {
	for _, events := range []int{0, 16, 64} {
		list := make([]string, events)
		for i := range list {
			list[i] = fmt.Sprintf(`{"number":%d,"block":%d,"evicted":false}`, 100_000+i, uint64(i+1)*0x9e3779b97f4a7c15)
		}
		body := "[" + strings.Join(list, ",") + "]"
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(b, err)
		l := &countingListener{Listener: ln}
		s := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/load" {
				_, _ = io.WriteString(w, `{"sequence":123456,"age-ms":40,"running":16,"waiting":3,"cold":false,"version":"sizing-v12"}`)
				return
			}
			_, _ = io.WriteString(w, body)
		})}
		go func() { _ = s.Serve(l) }()
		c := New(Config{PollTimeout: time.Second})
		b.Run(fmt.Sprint("events=", events), func(b *testing.B) {
			before := l.bytes.Load()
			for range b.N {
				if _, err := c.LoadReport("s1", ln.Addr().String()); err != nil {
					b.Fatal(err)
				}
				if _, _, err := c.CacheEvents("s1", ln.Addr().String(), 100_000); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(l.bytes.Load()-before)/float64(b.N), "wire-B/op")
		})
		assert.NilError(b, s.Close())
		c.Close()
	}
}
