package instance

import (
	"encoding/json"
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/etcd"
	"github.com/mustardseam/mustardseam/mustardseam/event"
	"github.com/mustardseam/mustardseam/mustardseam/revision"
)

// watchRetryDelay is the delay before a failed watch is restarted. In the meantime, heartbeats announce new revisions.
const watchRetryDelay = 500 * time.Millisecond

// followConfig reads and watches the head of the configuration, and starts again when the watch ends.
func (i *Instance) followConfig() {
	for i.ctx.Err() == nil {
		head, mod, err := revision.ReadHead(i.ctx, i.store)
		if err == nil {
			i.recordContact()
			i.adoptRevision(head.Revision, head.Digest, "")
			err = i.store.Watch(i.ctx, revision.HeadKey, mod+1, func(kv etcd.KeyValue) {
				var h revision.Head
				if !kv.Deleted && json.Unmarshal(kv.Value, &h) == nil {
					i.adoptRevision(h.Revision, h.Digest, "")
				}
			})
		}
		event.ConfigurationWatchEnded.Log(&i.log).Err(err).Send()
		i.sleep(watchRetryDelay)
	}
}

// adoptRevision applies a revision unless the current one is the same or higher. It fetches the document from the peer
// at addr, or from the store if addr is empty.
func (i *Instance) adoptRevision(number uint64, digest, addr string) {
	if cur := i.holder.Current(); number == 0 || (cur != nil && cur.Revision >= number) {
		return
	}
	packed, err := i.fetchDocument(digest, addr)
	if err != nil {
		event.ConfigurationInvalid.Log(&i.log).Uint64("revision", number).Err(err).Send()
		return
	}
	doc, err := revision.DecodeDocument(packed, digest)
	if err != nil {
		event.ConfigurationInvalid.Log(&i.log).Uint64("revision", number).Err(err).Send()
		return
	}
	first := i.holder.Current() == nil
	if !i.holder.Apply(revision.NewConfig(number, digest, packed, doc)) {
		return
	}
	event.ConfigurationApplied.Log(&i.log).Uint64("revision", number).Str("digest", digest).Send()
	i.configureHomes()
	if first {
		event.InstanceReady.Log(&i.log).Send()
	}
}

// fetchDocument fetches a document from the peer at addr, or from the store if addr is empty.
func (i *Instance) fetchDocument(digest, addr string) ([]byte, error) {
	if addr == "" {
		return revision.FetchDocument(i.ctx, i.store, digest)
	}
	packed, err := i.peers.Document(addr, digest)
	if err == nil {
		event.ConfigurationFromPeer.Log(&i.log).Str("digest", digest).Str("peer", addr).Send()
	}
	return packed, err
}
