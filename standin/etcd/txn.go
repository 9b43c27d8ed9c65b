package etcd

import "cmp"

// txn must be called with mu held.
func (s *Store) txn(r txnRequest) (any, error) {
	out := txnResponse{Succeeded: true}
	for _, c := range r.Compare {
		ok, err := c.holds(s.keys[string(c.Key)])
		if err != nil {
			return nil, err
		}
		out.Succeeded = out.Succeeded && ok
	}
	ops := r.Success
	if !out.Succeeded {
		ops = r.Failure
	}
	for _, op := range ops {
		if op.Put == nil {
			continue
		}
		if err := s.check(*op.Put); err != nil {
			return nil, err
		}
	}
	for _, op := range ops {
		out.Responses = append(out.Responses, s.apply(op))
	}
	out.Header.Revision = s.revision
	return out, nil
}

// holds reports whether the comparison is true of the key, of which a missing one has zeroes.
func (c compare) holds(kv keyValue) (bool, error) {
	var order int
	switch c.Target {
	case "MOD":
		order = cmp.Compare(kv.ModRevision, c.ModRevision)
	case "CREATE":
		order = cmp.Compare(kv.CreateRevision, c.CreateRevision)
	case "VERSION", "":
		order = cmp.Compare(kv.Version, c.Version)
	default:
		return false, errTarget
	}
	switch c.Result {
	case "EQUAL", "":
		return order == 0, nil
	case "NOT_EQUAL":
		return order != 0, nil
	case "GREATER":
		return order > 0, nil
	case "LESS":
		return order < 0, nil
	}
	return false, errTarget
}

// apply must be called with mu held.
func (s *Store) apply(op operation) operationResponse {
	switch {
	case op.Put != nil:
		s.put(*op.Put)
		return operationResponse{Put: &putResponse{header{s.revision}}}
	case op.Range != nil:
		out := s.read(*op.Range)
		return operationResponse{Range: &out}
	case op.Delete != nil:
		for _, kv := range s.read(*op.Delete).KVs {
			s.remove(string(kv.Key))
		}
	}
	return operationResponse{}
}
