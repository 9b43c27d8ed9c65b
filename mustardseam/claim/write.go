package claim

// Slot is one key of the journal as read from the store.
type Slot struct {
	Number int64  // Unix seconds of its opening, which is the last element of the key; 0 for the root slot.
	Value  []byte // Content of the key.
	Mod    int64  // Mod revision of the key.
}

// Write is a compare-and-swap of one slot.
type Write struct {
	Slot        int64  // Number of the slot.
	Value       []byte // Content to write.
	ID          uint64 // Passed to WriteCommitted, WriteLost or WriteNotSent.
	ExpectedMod int64  // Mod revision that the slot must have; 0 if it must not exist.
}

// StaleSlot is a closed slot. StaleSlots returns those whose claims are all forgotten.
type StaleSlot struct {
	Number int64 // Unix seconds of its opening.
	Mod    int64 // Mod revision that the slot must have when it is deleted.
}
