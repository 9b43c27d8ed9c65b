package claim

// Slot is one key of the journal as read from the store.
type Slot struct {
	Number int64 // Unix seconds of its opening; the last element of the key, 0 for the root.
	Value  []byte
	Mod    int64
}

// Write is a swap of one slot.
type Write struct {
	Slot  int64
	Value []byte
	ID    uint64
	Last  int64 // Mod revision that the slot must have; 0 when it must not exist.
}

// StaleSlot is a slot whose claims are all forgotten.
type StaleSlot struct {
	Number int64
	Mod    int64
}
