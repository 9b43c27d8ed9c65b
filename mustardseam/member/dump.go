package member

import "time"

// Dump is the state of a table for inspection.
type Dump struct {
	Self    Member     `json:"self"`
	Members []DumpLine `json:"members"`
	Listed  []Entry    `json:"listed"`
}

// DumpLine is the state of one incarnation.
type DumpLine struct {
	Member
	State  State         `json:"state"`
	Silent time.Duration `json:"silent"` // Since its last progress.
	Listed bool          `json:"listed"`
}
