package promptcache

// entry records that an engine keeps a part. Entries refer to each other by their positions in Index.entries; position 0
// stands for none. They hold no pointers, so that the garbage collector need not visit them.
type entry struct {
	part   uint64
	engine int32 // Number of the engine.
	tokens int32
	older  int32 // Next less recently used part of the engine; the next free entry if this one is free.
	newer  int32
	before int32 // Neighbours in the list of the engines that keep the part, the latest first.
	after  int32
}

// holding identifies a part at an engine.
type holding struct {
	part   uint64
	engine int32
}
