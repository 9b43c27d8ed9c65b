package event

import "github.com/rs/zerolog"

// Events of the instance lifecycle.
var (
	InstanceStarted  = Event{1001, "instance-started", zerolog.InfoLevel, "instance started"}
	InstanceReady    = Event{1002, "instance-ready", zerolog.InfoLevel, "instance ready"}
	InstanceDraining = Event{1003, "instance-draining", zerolog.InfoLevel, "instance accepts no new requests and waits for running responses"}
	InstanceStopped  = Event{1004, "instance-stopped", zerolog.InfoLevel, "instance stopped"}
	GracePeriodOver  = Event{1005, "grace-period-over", zerolog.WarnLevel, "grace period ended while responses were still running"}
	ListenerFailed   = Event{1006, "listener-failed", zerolog.ErrorLevel, "listener failed"}
)

// Events of the configuration.
var (
	ConfigurationApplied    = Event{2001, "configuration-applied", zerolog.InfoLevel, "configuration applied"}
	ConfigurationInvalid    = Event{2002, "configuration-invalid", zerolog.ErrorLevel, "failed to decode configuration"}
	ConfigurationWatchEnded = Event{2003, "configuration-watch-ended", zerolog.DebugLevel, "configuration watch ended and is restarted"}
	ConfigurationFromPeer   = Event{2004, "configuration-from-peer", zerolog.InfoLevel, "configuration received from another instance"}
)

// Events of the store and the platform.
var (
	StoreUnavailable        = Event{3001, "store-unavailable", zerolog.WarnLevel, "store unavailable"}
	StoreAvailable          = Event{3002, "store-available", zerolog.InfoLevel, "store available again"}
	InstanceListUnavailable = Event{3003, "instance-list-unavailable", zerolog.WarnLevel, "failed to read the list of instances"}
	StoreListed             = Event{3004, "store-listed", zerolog.InfoLevel, "all items of the store read"}
	StoreEraChanged         = Event{3005, "store-era-changed", zerolog.WarnLevel, "store was restored from a copy; acknowledged writes may be lost"}
)

// Events of pool homes.
var (
	HomeTaken        = Event{4001, "home-taken", zerolog.InfoLevel, "instance became the home of the pool"}
	HomeLost         = Event{4002, "home-lost", zerolog.WarnLevel, "instance is no longer the home of the pool"}
	HomeReleased     = Event{4003, "home-released", zerolog.InfoLevel, "home of the pool handed over"}
	StaticShare      = Event{4004, "static-share", zerolog.WarnLevel, "pool switched to static share mode"}
	PermitStale      = Event{4005, "permit-stale", zerolog.InfoLevel, "permit discarded: its start window or epoch has passed"}
	ClaimWriteFailed = Event{4006, "journal-write-failed", zerolog.WarnLevel, "failed to write claims"}
)

// Events of requests and backend servers.
var (
	RequestNotRun        = Event{5001, "request-not-run", zerolog.DebugLevel, "backend server did not run the request"}
	StreamResumed        = Event{5002, "stream-resumed", zerolog.InfoLevel, "interrupted stream resumed"}
	ResponseIncomplete   = Event{5003, "answer-incomplete", zerolog.WarnLevel, "response was interrupted and could not be resumed"}
	OutcomeUnreported    = Event{5004, "outcome-unreported", zerolog.WarnLevel, "failed to report outcome to the home of the pool"}
	LoadReportFailed     = Event{5005, "load-report-failed", zerolog.DebugLevel, "failed to read load report"}
	VersionLoadRequested = Event{5006, "version-ordered", zerolog.InfoLevel, "backend server ordered to load its configured version"}
	VersionLoadDelayed   = Event{5007, "version-order-delayed", zerolog.DebugLevel, "version order delayed: weights cannot be loaded yet"}
	VersionLoadFailed    = Event{5008, "version-order-failed", zerolog.WarnLevel, "backend server did not accept the order to load its configured version"}
)

// Events of rollouts.
var (
	RolloutRolledBack  = Event{6001, "rollout-taken-back", zerolog.WarnLevel, "rollout rolled back because the version is bad"}
	RolloutStep        = Event{6002, "rollout-step", zerolog.InfoLevel, "rollout state changed"}
	RolloutDone        = Event{6003, "rollout-done", zerolog.InfoLevel, "rollout complete"}
	RolloutLate        = Event{6004, "rollout-late", zerolog.WarnLevel, "rollout missed its deadline"}
	RolloutWriteFailed = Event{6005, "rollout-write-failed", zerolog.WarnLevel, "failed to write rollout record"}
	RolloutEvidence    = Event{6006, "rollout-evidence", zerolog.InfoLevel, "evidence about the new version of a rollout"}
)

// Events of entry instances (package entry), which share only the store and reports with each other.
var (
	RequestEnded         = Event{7001, "request-answered", zerolog.InfoLevel, "request ended"}
	RequestRetried       = Event{7002, "request-retried", zerolog.InfoLevel, "request retried on another backend server"}
	SettingsReloaded     = Event{7003, "settings-reloaded", zerolog.InfoLevel, "settings reloaded"}
	SettingsReloadFailed = Event{7004, "settings-reload-failed", zerolog.WarnLevel, "failed to reload settings; the previous settings remain in force"}
	StoreItemInvalid     = Event{7005, "store-item-invalid", zerolog.WarnLevel, "failed to decode store item; the item is not used"}
	ViewChanged          = Event{7006, "belief-changed", zerolog.InfoLevel, "instance learned of a state change"}
	HubChosen            = Event{7007, "hub-chosen", zerolog.InfoLevel, "hub changed"}
	HubLost              = Event{7008, "hub-lost", zerolog.WarnLevel, "hub unavailable; instance uses its standing shares"}
	InstanceRegistered   = Event{7009, "instance-registered", zerolog.InfoLevel, "instance registered in the store"}
	StoreWriteFailed     = Event{7010, "store-write-failed", zerolog.WarnLevel, "failed to write item to the store; the write is retried"}
	ShutdownProgress     = Event{7011, "stop-progress", zerolog.InfoLevel, "planned stop in progress"}
	HubPlacementStarted  = Event{7012, "placing-found", zerolog.InfoLevel, "hub places the engine requests of this instance"}
	HubPlacementStopped  = Event{7013, "placing-lost", zerolog.WarnLevel, "hub no longer places requests; instance places its own requests"}
	PanicContained       = Event{7014, "panic-contained", zerolog.ErrorLevel, "panic ended one task; the instance continues"}
	ServerLimitChanged   = Event{7015, "server-limit-changed", zerolog.InfoLevel, "request limit of a backend server changed"}
	ServerLimitInvalid   = Event{7016, "server-limit-invalid", zerolog.WarnLevel, "failed to read the request limit in an answer; the known limit stays in force"}
	AnswerCut            = Event{7017, "answer-cut", zerolog.InfoLevel, "backend server ended the connection of a request without a complete answer"}
	PromptQuarantined    = Event{7018, "prompt-quarantined", zerolog.WarnLevel, "backend servers crash on a request or on prompt parts; requests with all of them are refused"}
	PromptReleased       = Event{7019, "prompt-released", zerolog.InfoLevel, "prompt parts are no longer refused in this combination"}
	RequestsRefused      = Event{7020, "requests-refused", zerolog.WarnLevel, "requests were refused"}
)

// All returns all events in ascending order of their numbers.
func All() []Event {
	return []Event{
		InstanceStarted, InstanceReady, InstanceDraining, InstanceStopped, GracePeriodOver, ListenerFailed,
		ConfigurationApplied, ConfigurationInvalid, ConfigurationWatchEnded, ConfigurationFromPeer,
		StoreUnavailable, StoreAvailable, InstanceListUnavailable, StoreListed, StoreEraChanged,
		HomeTaken, HomeLost, HomeReleased, StaticShare, PermitStale, ClaimWriteFailed,
		RequestNotRun, StreamResumed, ResponseIncomplete, OutcomeUnreported, LoadReportFailed,
		VersionLoadRequested, VersionLoadDelayed, VersionLoadFailed,
		RolloutRolledBack, RolloutStep, RolloutDone, RolloutLate, RolloutWriteFailed, RolloutEvidence,
		RequestEnded, RequestRetried, SettingsReloaded, SettingsReloadFailed, StoreItemInvalid, ViewChanged,
		HubChosen, HubLost, InstanceRegistered, StoreWriteFailed, ShutdownProgress,
		HubPlacementStarted, HubPlacementStopped, PanicContained, ServerLimitChanged, ServerLimitInvalid, AnswerCut,
		PromptQuarantined, PromptReleased, RequestsRefused,
	}
}
