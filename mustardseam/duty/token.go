package duty

// eraShift is the number of bits of a token that hold the revision; the store's revisions stay far below 2^40.
const eraShift = 40

// Token returns the fencing token of a record. A store that is restored from a copy counts its revisions on from an earlier
// one, but in a higher era, so that no token is given twice.
func Token(era, revision int64) int64 { return era<<eraShift + revision }
