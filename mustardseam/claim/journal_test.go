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

// Guards against a key that runs twice and against answers about it that contradict each other, under lost and late
// writes, pauses, outages and homes that follow each other; and against a journal that stays closed after the faults.
func TestKeysRunAtMostOnceUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"))
		born := map[string]time.Time{}
		var keys []string
		pick := func(t *rapid.T) *ask { return w.asks[rapid.IntRange(0, len(w.asks)-1).Draw(t, "ask")] }
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
				return // May run again.
			}
			from := fmt.Sprint("entry", rapid.IntRange(0, 2).Draw(t, "from"))
			a := &ask{id: fmt.Sprint("ask", len(w.asks)), key: key, from: from, sent: w.now.UnixNano()}
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
					w.current().j.Finish(w.current().clock(w), a.id, 200, a.from)
				}
			},
			"entry ends": func(t *rapid.T) {
				from := fmt.Sprint("entry", rapid.IntRange(0, 2).Draw(t, "from"))
				for _, a := range w.asks {
					if a.from == from && !a.settled {
						w.record(a, "gone", "")
					}
				}
				w.current().j.Abandon(w.current().clock(w), from)
			},
			"take over": func(*rapid.T) { w.takeOver() },
			"pause":     func(*rapid.T) { w.current().paused = true },
			"wake": func(*rapid.T) {
				for _, h := range w.homes {
					h.paused = false
				}
			},
			"down": func(t *rapid.T) { w.down = rapid.Bool().Draw(t, "down") },
			"cut":  func(t *rapid.T) { w.current().cut = rapid.Bool().Draw(t, "cut") },
			"": func(t *rapid.T) {
				for key, n := range w.runs {
					if n > 1 {
						t.Fatalf("key %q ran %d times", key, n)
					}
				}
			},
		})
		if !porcupine.CheckOperations(atMostOnce, w.history) {
			t.Fatalf("answers contradict each other: %+v", w.history)
		}
		w.down = false
		w.takeOver()
		w.advance(15 * time.Second)
		if !w.current().j.Ready() {
			t.Fatalf("journal is not ready: %+v", w.current().j.Dump(w.now))
		}
	})
}
