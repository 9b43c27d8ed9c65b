package outage

import (
	"time"

	"github.com/mustardseam/mustardseam/measure/site"
)

// Config describes a run.
type Config struct {
	Site     site.Site
	Seed     uint64
	From, To time.Duration // The store does not answer in between.
	HomeDies time.Duration // When the home's instance ends; 0 for never.
	End      time.Duration // Callers begin no request after it.
	Rate     float64       // Requests a second.
	LostAt   float64       // Share of the store's writes whose answer is lost after they took effect.
	LostOn   float64       // Share of answers that are lost on the way to the caller.
}

// Times of the network, of the store and of the callers.
const (
	toStore     = 2 * time.Millisecond
	between     = 500 * time.Microsecond
	toClient    = time.Millisecond
	storeWait   = time.Second // After which a store call counts as unanswered.
	service     = 40 * time.Millisecond
	heartbeat   = 500 * time.Millisecond
	suspicion   = 1500 * time.Millisecond
	listLag     = 2 * time.Second // Until the platform's list drops an instance that ended.
	pollEvery   = 200 * time.Millisecond
	unfetched   = 1500 * time.Millisecond // After which a permit that nobody fetched is void.
	callTimeout = 10 * time.Second
	callerWait  = 12 * time.Second // After which a caller without an answer calls again.
	callerPause = time.Second      // Before a caller repeats a refused call.
	callerTries = 8
	drain       = 2 * time.Minute
)
