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
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"))
		born := map[string]time.Time{}
		var keys []string
		pick := func(t *rapid.T) *simulatedAsk { return sim.asks[rapid.IntRange(0, len(sim.asks)-1).Draw(t, "ask")] }
		submit := func(t *rapid.T) {
			if n := len(keys); n < 3 || rapid.IntRange(0, 3).Draw(t, "new") == 0 {
				key := fmt.Sprint("order-", n)
				if rapid.Bool().Draw(t, "timed") {
					key = fmt.Sprintf("%d-%d", sim.now.Unix()-rapid.Int64Range(0, 8).Draw(t, "age"), n)
				}
				keys, born[key] = append(keys, key), sim.now
			}
			key := keys[rapid.IntRange(max(0, len(keys)-6), len(keys)-1).Draw(t, "key")]
			if _, timed := KeyTime(key); !timed && sim.now.Sub(born[key]) > retention {
				return // An untimed key may run again after its retention.
			}
			from := fmt.Sprint("entry", rapid.IntRange(0, 2).Draw(t, "from"))
			a := &simulatedAsk{id: fmt.Sprint("ask", len(sim.asks)), key: key, from: from, sentAt: sim.now.UnixNano()}
			sim.asks = append(sim.asks, a)
			sim.poll(a)
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit": submit,
			"again":  submit,
			"advance": func(t *rapid.T) {
				sim.advance(time.Duration(rapid.IntRange(1, 8000).Draw(t, "ms")) * time.Millisecond)
			},
			"poll": func(*rapid.T) {
				for _, a := range sim.asks {
					if !a.settled {
						sim.poll(a)
					}
				}
			},
			"end": func(t *rapid.T) {
				if len(sim.asks) == 0 {
					t.Skip()
				}
				if a := pick(t); a.running != nil && !sim.current().paused {
					sim.current().journal.MarkDone(sim.current().clock(sim), a.id, 200, a.from)
				}
			},
			"entry ends": func(t *rapid.T) {
				from := fmt.Sprint("entry", rapid.IntRange(0, 2).Draw(t, "from"))
				for _, a := range sim.asks {
					if a.from == from && !a.settled {
						sim.record(a, "gone", "")
					}
				}
				sim.current().journal.SettleFailedOwner(sim.current().clock(sim), from)
			},
			"take over": func(*rapid.T) { sim.takeOver() },
			"pause":     func(*rapid.T) { sim.current().paused = true },
			"wake": func(*rapid.T) {
				for _, h := range sim.homes {
					h.paused = false
				}
			},
			"down": func(t *rapid.T) { sim.storeDown = rapid.Bool().Draw(t, "down") },
			"cut":  func(t *rapid.T) { sim.current().storeCut = rapid.Bool().Draw(t, "cut") },
			"": func(t *rapid.T) {
				for key, n := range sim.runCount {
					if n > 1 {
						t.Fatalf("key %q ran %d times", key, n)
					}
				}
			},
		})
		if !porcupine.CheckOperations(atMostOnce, sim.history) {
			t.Fatalf("answers contradict each other: %+v", sim.history)
		}
		sim.storeDown = false
		sim.takeOver()
		sim.advance(15 * time.Second)
		if !sim.current().journal.Ready() {
			t.Fatalf("journal is not ready: %+v", sim.current().journal.Dump(sim.now))
		}
	})
}
