package etcd

import "github.com/rotisserie/eris"

// Messages of the gateway, with the members that this client reads or writes. 64-bit integers are encoded as strings.
type (
	rangeRequest struct {
		Key      []byte `json:"key"`
		RangeEnd []byte `json:"range_end,omitempty"`
	}
	keyValue struct {
		Key         []byte `json:"key"`
		Value       []byte `json:"value"`
		ModRevision int64  `json:"mod_revision,string"`
	}
	rangeResponse struct {
		KVs []keyValue `json:"kvs"`
	}
	putRequest struct {
		Key   []byte `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease,string,omitempty"`
	}
	comparison struct {
		Key         []byte `json:"key"`
		Target      string `json:"target"`
		Result      string `json:"result"`
		ModRevision int64  `json:"mod_revision,string"`
	}
	operation struct {
		Put    *putRequest   `json:"requestPut,omitempty"`
		Delete *rangeRequest `json:"requestDeleteRange,omitempty"`
	}
	txnRequest struct {
		Compare []comparison `json:"compare"`
		Success []operation  `json:"success"`
	}
	txnResponse struct {
		Header struct {
			Revision int64 `json:"revision,string"`
		} `json:"header"`
		Succeeded bool `json:"succeeded"`
	}
	leaseRequest struct {
		ID  int64 `json:"ID,string,omitempty"`
		TTL int64 `json:"TTL,string,omitempty"`
	}
	leaseResponse struct {
		ID  int64 `json:"ID,string"`
		TTL int64 `json:"TTL,string"`
	}
	keepAliveResponse struct {
		Result leaseResponse `json:"result"`
	}
	watchCreate struct {
		Key           []byte `json:"key"`
		RangeEnd      []byte `json:"range_end,omitempty"`
		StartRevision int64  `json:"start_revision,string,omitempty"`
	}
	watchRequest struct {
		Create watchCreate `json:"create_request"`
	}
	watchResponse struct {
		Result struct {
			Header struct {
				Revision int64 `json:"revision,string"`
			} `json:"header"`
			Canceled bool   `json:"canceled"`
			Reason   string `json:"cancel_reason"`
			Events   []struct {
				Type string   `json:"type"`
				KV   keyValue `json:"kv"`
			} `json:"events"`
		} `json:"result"`
		Error *struct {
			Message string `json:"message"`
		} `json:"error"`
	}
)

// watchError returns the error with which the store ended the watch, or nil if the watch continues. If the store
// cancels a watch, as it does when the start revision is compacted, a new watch would end in the same way.
func (w watchResponse) watchError() error {
	switch {
	case w.Error != nil:
		return eris.Wrapf(ErrUnavailable, "store reported an error: %s", w.Error.Message)
	case w.Result.Canceled:
		return eris.Wrapf(ErrUnavailable, "store cancelled the watch: %s", w.Result.Reason)
	}
	return nil
}
