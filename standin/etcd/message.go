package etcd

import "strconv"

// number is a 64-bit integer, which the gateway writes as a JSON string and reads as either.
type number int64

// MarshalJSON writes the number as a string.
func (n number) MarshalJSON() ([]byte, error) {
	return []byte(strconv.Quote(strconv.FormatInt(int64(n), 10))), nil
}

// UnmarshalJSON reads a number or a string that holds one.
func (n *number) UnmarshalJSON(b []byte) error {
	s := string(b)
	if u, err := strconv.Unquote(s); err == nil {
		s = u
	}
	v, err := strconv.ParseInt(s, 10, 64)
	*n = number(v)
	return err
}

type header struct {
	Revision number `json:"revision"`
}

type keyValue struct {
	Key            []byte `json:"key"`
	Value          []byte `json:"value"`
	CreateRevision number `json:"create_revision"`
	ModRevision    number `json:"mod_revision"`
	Version        number `json:"version"`
	Lease          number `json:"lease,omitempty"`
}

type rangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end"`
}

type rangeResponse struct {
	Header header     `json:"header"`
	KVs    []keyValue `json:"kvs,omitempty"`
	Count  number     `json:"count"`
}

type putRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease number `json:"lease"`
}

type compare struct {
	Key            []byte `json:"key"`
	Target         string `json:"target"`
	Result         string `json:"result"`
	ModRevision    number `json:"mod_revision"`
	CreateRevision number `json:"create_revision"`
	Version        number `json:"version"`
}

type operation struct {
	Range  *rangeRequest `json:"requestRange,omitempty"`
	Put    *putRequest   `json:"requestPut,omitempty"`
	Delete *rangeRequest `json:"requestDeleteRange,omitempty"`
}

type txnRequest struct {
	Compare []compare   `json:"compare"`
	Success []operation `json:"success"`
	Failure []operation `json:"failure"`
}

type operationResponse struct {
	Range *rangeResponse `json:"response_range,omitempty"`
	Put   *putResponse   `json:"response_put,omitempty"`
}

type putResponse struct {
	Header header `json:"header"`
}

type txnResponse struct {
	Header    header              `json:"header"`
	Succeeded bool                `json:"succeeded"`
	Responses []operationResponse `json:"responses,omitempty"`
}

type leaseRequest struct {
	ID  number `json:"ID"`
	TTL number `json:"TTL"`
}

type leaseResponse struct {
	Header header `json:"header"`
	ID     number `json:"ID"`
	TTL    number `json:"TTL"`
}

type watchRequest struct {
	Create struct {
		Key           []byte `json:"key"`
		RangeEnd      []byte `json:"range_end"`
		StartRevision number `json:"start_revision"`
	} `json:"create_request"`
}

type event struct {
	Type string   `json:"type,omitempty"` // Empty for PUT.
	KV   keyValue `json:"kv"`
}

type watchResponse struct {
	Result struct {
		Header          header  `json:"header"`
		Created         bool    `json:"created,omitempty"`
		Canceled        bool    `json:"canceled,omitempty"`
		CompactRevision number  `json:"compact_revision,omitempty"`
		CancelReason    string  `json:"cancel_reason,omitempty"`
		Events          []event `json:"events,omitempty"`
	} `json:"result"`
}
