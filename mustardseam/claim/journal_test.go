package claim

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20231204", "rapid.checks": "2500", "rapid.steps": "60", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// TestKeysRunAtMostOnceUnderFaults guards against a key that runs twice and against contradicting answers about it,
// under lost and late writes, pauses, outages and successive homes. It also guards against a journal that does not
// become ready after the faults have ended.
func TestKeysRunAtMostOnceUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(rapid.Uint64().Draw(t, "seed"))
		born := map[string]time.Time{}
		var keys []string
		pick := func(t *rapid.T) *simulatedAsk { return w.asks[rapid.IntRange(0, len(w.asks)-1).Draw(t, "ask")] }
		submit := func(t *rapid.T) {
			if n := len(keys); n < 3 || rapid.IntRange(0, 3).Draw(t, "new") == 0 {
				key := fmt.Sprint("order-", n)
				if rapid.Bool().Draw(t, "timed") {
					key = fmt.Sprintf("%d-%d", w.now.Unix()-rapid.Int64Range(0, 8).Draw(t, "age"), n)
				}
				keys, born[key] = append(keys, key), w.now
			}
			key := keys[rapid.IntRange(max(0, len(keys)-6), len(keys)-1).Draw(t, "key")]
			if _, timed := Time(key); !timed && w.now.Sub(born[key]) > retention {
				return // An untimed key may run again after its retention.
			}
			from := fmt.Sprint("entry", rapid.IntRange(0, 2).Draw(t, "from"))
			a := &simulatedAsk{id: fmt.Sprint("ask", len(w.asks)), key: key, from: from, sentAt: w.now.UnixNano()}
			w.asks = append(w.asks, a)
			w.poll(a)
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit": submit,
			"again":  submit,
			"advance": func(t *rapid.T) {
				w.advance(time.Duration(rapid.IntRange(1, 8000).Draw(t, "ms")) * time.Millisecond)
			},
			"poll": func(*rapid.T) {
				for _, a := range w.asks {
					if !a.settled {
						w.poll(a)
					}
				}
			},
			"end": func(t *rapid.T) {
				if len(w.asks) == 0 {
					t.Skip()
				}
				if a := pick(t); a.running != nil && !w.current().paused {
					w.current().journal.Finish(w.current().clock(w), a.id, 200, a.from)
				}
			},
			"entry ends": func(t *rapid.T) {
				from := fmt.Sprint("entry", rapid.IntRange(0, 2).Draw(t, "from"))
				for _, a := range w.asks {
					if a.from == from && !a.settled {
						w.record(a, "gone", "")
					}
				}
				w.current().journal.Abandon(w.current().clock(w), from)
			},
			"take over": func(*rapid.T) { w.takeOver() },
			"pause":     func(*rapid.T) { w.current().paused = true },
			"wake": func(*rapid.T) {
				for _, h := range w.homes {
					h.paused = false
				}
			},
			"down": func(t *rapid.T) { w.storeDown = rapid.Bool().Draw(t, "down") },
			"cut":  func(t *rapid.T) { w.current().storeCut = rapid.Bool().Draw(t, "cut") },
			"": func(t *rapid.T) {
				for key, n := range w.runCount {
					if n > 1 {
						t.Fatalf("key %q ran %d times", key, n)
					}
				}
			},
		})
		if !porcupine.CheckOperations(atMostOnce, w.history) {
			t.Fatalf("answers contradict each other: %+v", w.history)
		}
		w.storeDown = false
		w.takeOver()
		w.advance(15 * time.Second)
		if !w.current().journal.Ready() {
			t.Fatalf("journal is not ready: %+v", w.current().journal.Dump(w.now))
		}
	})
}
