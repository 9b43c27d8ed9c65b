package entry

import (
	"context"
	"errors"
	"io"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/mustardseam/mustardseam/mustardseam/event"
	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/http1"
	"github.com/mustardseam/mustardseam/mustardseam/placement"
	"github.com/mustardseam/mustardseam/mustardseam/quarantine"
)

const (
	// soundEvents is the number of events after which an answer shows that the backend server does not crash on the prompt.
	soundEvents = 3
	// crashSaveInterval is how often the hub checks whether to save crashes in the store.
	crashSaveInterval = 500 * time.Millisecond
)

// newQuarantine returns a table of crashes that logs its findings.
func newQuarantine(log *zerolog.Logger) *quarantine.Table {
	return quarantine.NewTable(quarantine.Config{
		OnQuarantine: func(p quarantine.Pattern) {
			event.PromptQuarantined.Log(log).Str("parts", strings.Join(p.Parts, ",")).Int("crashes", p.Crashes).Send()
		},
		OnRelease: func(p quarantine.Pattern) {
			event.PromptReleased.Log(log).Str("parts", strings.Join(p.Parts, ",")).Int("crashes", p.Crashes).Send()
		},
	})
}

// crashParts returns what a crash may be due to: the fingerprint of a request and the parts of its prompt.
func (req *request) crashParts() []string {
	return append([]string{req.fingerprint()}, req.meta.PromptParts...)
}

// refuseQuarantined returns the refusal of a request that crashes backend servers, or nil.
func (i *Instance) refuseQuarantined(req *request) *placement.Refusal {
	if !i.quarantine.Knows() {
		return nil
	}
	p, found := i.quarantine.Match(time.Now(), req.crashParts())
	if !found {
		return nil
	}
	i.metrics.quarantined.Inc()
	return &placement.Refusal{
		Cause:      placement.CauseOther,
		RetryAfter: quarantine.RefusalTime, Reason: "request crashes backend servers: " + strings.Join(p.Parts, ","),
	}
}

// recordCut records that an attempt failed with err after a number of events, if the reason is that the backend server ended
// the connection. The end of a planned shutdown, or of a connection to a backend server that goes on running, says nothing about
// the request.
func (i *Instance) recordCut(ctx context.Context, req *request, g *Grant, events int, err error) {
	if !isCut(ctx, err) {
		return
	}
	i.metrics.answersCut.Inc()
	event.AnswerCut.Log(i.log()).Str("request", req.meta.ID).Str("server", g.Server.ID).Int64("born", g.Server.StartMS).
		Int("events", events).Str("parts", strings.Join(req.meta.PromptParts, ",")).
		Str("fingerprint", req.fingerprint()).Err(err).Send()
	if events >= soundEvents || i.isLeaving(g.Server.Incarnation()) || !i.client.IsDown(ctx, g.Server) {
		return
	}
	req.crashed = true
	i.quarantine.RecordCrash(time.Now(), g.Server.Incarnation(), req.crashParts())
}

// isCut reports whether an attempt failed because the backend server ended the connection.
func isCut(ctx context.Context, err error) bool {
	// An event stream without framing ends with io.EOF.
	return ctx.Err() == nil && (errors.Is(err, http1.ErrDisconnected) || errors.Is(err, io.EOF))
}

// recordSound records that a backend server has answered a request, or enough of it.
func (i *Instance) recordSound(req *request) {
	i.quarantine.RecordAnswer(time.Now(), req.crashParts())
}

// carriesCrash reports whether another attempt of a request that was cut off could crash a further backend server.
func (i *Instance) carriesCrash(req *request) bool {
	return req.crashed && i.quarantine.Suspects(time.Now(), req.crashParts())
}

// isLeaving reports whether an incarnation of a backend server is shutting down.
func (i *Instance) isLeaving(id fleet.Incarnation) bool {
	s := i.view.Load().Servers[id.ID]
	return s != nil && s.Incarnation() == id && s.Draining
}

// saveCrashes saves crashes in the store while this instance is the hub or has none. After the loss of all instances, the
// store is the only place that holds them.
func (i *Instance) saveCrashes() {
	for i.ctx.Err() == nil {
		i.sleep(crashSaveInterval)
		if _, reachable := i.reporter.reachableHub(time.Now()); reachable || i.stopping.Load() != nil {
			continue
		}
		i.recoverPanics("saving of crashes", func() {
			if err := i.writeCrashes(); err != nil {
				event.StoreWriteFailed.Log(i.log()).Err(err).Send()
			}
		})
	}
}

// writeCrashes writes the crashes to the store if it lacks some that matter.
func (i *Instance) writeCrashes() error {
	key, value, err := i.cfg.StoreCodec.Crashes(nil)
	if err != nil {
		return err
	}
	var saved []fleet.Crash
	item, _, found := i.follower.Item(key)
	if !found && i.quarantine.Len() == 0 {
		return nil
	}
	if found {
		if c, _, err := i.cfg.StoreCodec.Decode(item, false, time.Now()); err == nil {
			saved = c.Crashes
		}
	}
	crashes := i.quarantine.Unsaved(time.Now(), saved)
	if crashes == nil {
		return nil
	}
	if key, value, err = i.cfg.StoreCodec.Crashes(crashes); err != nil {
		return err
	}
	return i.writeUnchanged(key, value, registerTimeout)
}
