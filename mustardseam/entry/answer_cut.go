package entry

import (
	"context"
	"errors"
	"io"
	"strings"

	"github.com/mustardseam/mustardseam/mustardseam/event"
	"github.com/mustardseam/mustardseam/mustardseam/http1"
)

// recordCut records that an attempt failed with err after a number of events, if the reason is that the backend server ended
// the connection.
func (i *Instance) recordCut(ctx context.Context, req *request, g *Grant, events int, err error) {
	// An event stream without framing ends with io.EOF.
	if ctx.Err() != nil || !errors.Is(err, http1.ErrDisconnected) && !errors.Is(err, io.EOF) {
		return
	}
	i.metrics.answersCut.Inc()
	event.AnswerCut.Log(i.log()).Str("request", req.meta.ID).Str("server", g.Server.ID).Int64("born", g.Server.StartMS).
		Int("events", events).Str("parts", strings.Join(req.meta.PromptParts, ",")).Err(err).Send()
}
