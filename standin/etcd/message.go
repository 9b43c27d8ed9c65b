package etcd

import "strconv"

// jsonInt64 is a 64-bit integer; the gateway writes it as a JSON string and accepts a string or a number.
type jsonInt64 int64

// MarshalJSON encodes the number as a JSON string.
func (n jsonInt64) MarshalJSON() ([]byte, error) {
	return []byte(strconv.Quote(strconv.FormatInt(int64(n), 10))), nil
}

// UnmarshalJSON decodes a JSON number or a string that contains one.
func (n *jsonInt64) UnmarshalJSON(b []byte) error {
	s := string(b)
	if u, err := strconv.Unquote(s); err == nil {
		s = u
	}
	v, err := strconv.ParseInt(s, 10, 64)
	*n = jsonInt64(v)
	return err
}

type header struct {
	Revision jsonInt64 `json:"revision"`
}

type keyValue struct {
	Key            []byte    `json:"key"`
	Value          []byte    `json:"value"`
	CreateRevision jsonInt64 `json:"create_revision"`
	ModRevision    jsonInt64 `json:"mod_revision"`
	Version        jsonInt64 `json:"version"`
	Lease          jsonInt64 `json:"lease,omitempty"`
}

type rangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end"`
}

type rangeResponse struct {
	Header header     `json:"header"`
	KVs    []keyValue `json:"kvs,omitempty"`
	Count  jsonInt64  `json:"count"`
}

type putRequest struct {
	Key   []byte    `json:"key"`
	Value []byte    `json:"value"`
	Lease jsonInt64 `json:"lease"`
}

type compare struct {
	Key            []byte    `json:"key"`
	Target         string    `json:"target"`
	Result         string    `json:"result"`
	ModRevision    jsonInt64 `json:"mod_revision"`
	CreateRevision jsonInt64 `json:"create_revision"`
	Version        jsonInt64 `json:"version"`
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
	ID  jsonInt64 `json:"ID"`
	TTL jsonInt64 `json:"TTL"`
}

type leaseResponse struct {
	Header header    `json:"header"`
	ID     jsonInt64 `json:"ID"`
	TTL    jsonInt64 `json:"TTL"`
}

type watchRequest struct {
	Create struct {
		Key           []byte    `json:"key"`
		RangeEnd      []byte    `json:"range_end"`
		StartRevision jsonInt64 `json:"start_revision"`
	} `json:"create_request"`
}

type event struct {
	Type string   `json:"type,omitempty"` // Empty for PUT.
	KV   keyValue `json:"kv"`
}

type watchResponse struct {
	Result struct {
		Header          header    `json:"header"`
		Created         bool      `json:"created,omitempty"`
		Canceled        bool      `json:"canceled,omitempty"`
		CompactRevision jsonInt64 `json:"compact_revision,omitempty"`
		CancelReason    string    `json:"cancel_reason,omitempty"`
		Events          []event   `json:"events,omitempty"`
	} `json:"result"`
}
