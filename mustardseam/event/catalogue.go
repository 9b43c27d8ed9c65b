package event

import "github.com/rs/zerolog"

// The events of the life of an instance.
var (
	Started      = Event{1001, "instance-started", zerolog.InfoLevel, "instance started"}
	Ready        = Event{1002, "instance-ready", zerolog.InfoLevel, "instance is ready"}
	Draining     = Event{1003, "instance-draining", zerolog.InfoLevel, "instance takes no new requests and waits for running answers"}
	Stopped      = Event{1004, "instance-stopped", zerolog.InfoLevel, "instance stopped"}
	GraceOver    = Event{1005, "grace-period-over", zerolog.WarnLevel, "grace period ended while answers were running"}
	ListenFailed = Event{1006, "listener-failed", zerolog.ErrorLevel, "listener failed"}
)

// The events of configuration.
var (
	Applied       = Event{2001, "configuration-applied", zerolog.InfoLevel, "configuration is in force"}
	BadDocument   = Event{2002, "configuration-invalid", zerolog.ErrorLevel, "configuration could not be read"}
	WatchEnded    = Event{2003, "configuration-watch-ended", zerolog.DebugLevel, "watch of the configuration ended and is begun anew"}
	FetchedByPeer = Event{2004, "configuration-from-peer", zerolog.InfoLevel, "configuration came from another instance"}
)

// The events of the platform.
var (
	StoreFailed    = Event{3001, "store-unavailable", zerolog.WarnLevel, "store does not answer"}
	StoreBack      = Event{3002, "store-available", zerolog.InfoLevel, "store answers again"}
	PlatformFailed = Event{3003, "instance-list-unavailable", zerolog.WarnLevel, "list of instances could not be read"}
)

// The events of homes.
var (
	HomeTaken     = Event{4001, "home-taken", zerolog.InfoLevel, "this instance is the home of the pool"}
	HomeLost      = Event{4002, "home-lost", zerolog.WarnLevel, "this instance is no longer the home of the pool"}
	HomeReleased  = Event{4003, "home-released", zerolog.InfoLevel, "home was handed over"}
	StaticShare   = Event{4004, "static-share", zerolog.WarnLevel, "pool is in static share mode"}
	StalePermit   = Event{4005, "permit-stale", zerolog.InfoLevel, "permit was discarded because its start window or epoch had passed"}
	JournalFailed = Event{4006, "journal-write-failed", zerolog.WarnLevel, "claims could not be written"}
)

// The events of requests and backend servers.
var (
	NotRun       = Event{5001, "request-not-run", zerolog.DebugLevel, "backend server did not run the request"}
	Resumed      = Event{5002, "stream-resumed", zerolog.InfoLevel, "broken stream was resumed"}
	Incomplete   = Event{5003, "answer-incomplete", zerolog.WarnLevel, "answer broke off and could not be resumed"}
	Unreported   = Event{5004, "outcome-unreported", zerolog.WarnLevel, "outcome could not be reported to the home"}
	ReportFailed = Event{5005, "load-report-failed", zerolog.DebugLevel, "load report could not be read"}
	Ordered      = Event{5006, "version-ordered", zerolog.InfoLevel, "backend server was told to load its configured version"}
	OrderDelayed = Event{5007, "version-order-delayed", zerolog.DebugLevel, "weight store has no rate left for the version"}
	OrderFailed  = Event{5008, "version-order-failed", zerolog.WarnLevel, "backend server did not take the order"}
)

// The events of rollouts.
var (
	RolledBack   = Event{6001, "rollout-taken-back", zerolog.WarnLevel, "version is bad and its rollout was taken back"}
	RolloutStep  = Event{6002, "rollout-step", zerolog.InfoLevel, "rollout advanced"}
	RolloutDone  = Event{6003, "rollout-done", zerolog.InfoLevel, "rollout is done"}
	RolloutLate  = Event{6004, "rollout-late", zerolog.WarnLevel, "rollout missed its deadline"}
	RolloutWrite = Event{6005, "rollout-write-failed", zerolog.WarnLevel, "record of the rollout could not be written"}
)

// The events of an instance that shares nothing with the others but the store and reports.
var (
	Answered     = Event{7001, "request-answered", zerolog.InfoLevel, "request has ended"}
	Retried      = Event{7002, "request-retried", zerolog.InfoLevel, "request goes to another backend server"}
	Reloaded     = Event{7003, "settings-reloaded", zerolog.InfoLevel, "settings were read again"}
	ReloadFailed = Event{7004, "settings-reload-failed", zerolog.WarnLevel, "changed settings could not be read; the old ones stay in force"}
	BadItem      = Event{7005, "store-item-invalid", zerolog.WarnLevel, "item of the store could not be read and names nothing to use"}
	Believed     = Event{7006, "belief-changed", zerolog.InfoLevel, "instance learned of a change"}
	HubChosen    = Event{7007, "hub-chosen", zerolog.InfoLevel, "instance reports to another hub"}
	HubLost      = Event{7008, "hub-lost", zerolog.WarnLevel, "hub does not answer; the instance keeps to its standing shares"}
	Registered   = Event{7009, "instance-registered", zerolog.InfoLevel, "instance is registered in the store"}
	StoreRefused = Event{7010, "store-write-failed", zerolog.WarnLevel, "item could not be written to the store and is tried again"}
	StopStep     = Event{7011, "stop-progress", zerolog.InfoLevel, "planned stop goes on"}
	PlacingFound = Event{7012, "placing-found", zerolog.InfoLevel, "hub places the requests of this instance to engines"}
	PlacingLost  = Event{7013, "placing-lost", zerolog.WarnLevel, "hub does not place any more; the instance places its requests itself"}
	Contained    = Event{7014, "panic-contained", zerolog.ErrorLevel, "unexpected error ended one task; the instance goes on"}
)

// All returns every event in the order of the numbers.
func All() []Event {
	return []Event{
		Started, Ready, Draining, Stopped, GraceOver, ListenFailed,
		Applied, BadDocument, WatchEnded, FetchedByPeer,
		StoreFailed, StoreBack, PlatformFailed,
		HomeTaken, HomeLost, HomeReleased, StaticShare, StalePermit, JournalFailed,
		NotRun, Resumed, Incomplete, Unreported, ReportFailed, Ordered, OrderDelayed, OrderFailed,
		RolledBack, RolloutStep, RolloutDone, RolloutLate, RolloutWrite,
		Answered, Retried, Reloaded, ReloadFailed, BadItem, Believed, HubChosen, HubLost, Registered, StoreRefused, StopStep,
		PlacingFound, PlacingLost, Contained,
	}
}
