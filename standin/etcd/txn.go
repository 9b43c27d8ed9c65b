package etcd

import "cmp"

// txn executes a transaction; it must be called with mu held.
func (s *Store) txn(r txnRequest) (any, error) {
	out := txnResponse{Succeeded: true}
	for _, c := range r.Compare {
		ok, err := c.matches(s.keys[string(c.Key)])
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
		if err := s.checkPut(*op.Put); err != nil {
			return nil, err
		}
	}
	for _, op := range ops {
		out.Responses = append(out.Responses, s.apply(op))
	}
	out.Header.Revision = s.revision
	return out, nil
}

// matches reports whether the comparison holds for the key; all numbers of a missing key are zero.
func (c compare) matches(kv keyValue) (bool, error) {
	var order int
	switch c.Target {
	case "MOD":
		order = cmp.Compare(kv.ModRevision, c.ModRevision)
	case "CREATE":
		order = cmp.Compare(kv.CreateRevision, c.CreateRevision)
	case "VERSION", "":
		order = cmp.Compare(kv.Version, c.Version)
	default:
		return false, errUnsupportedComparison
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
	return false, errUnsupportedComparison
}

// apply executes one operation of a transaction; it must be called with mu held.
func (s *Store) apply(op operation) operationResponse {
	switch {
	case op.Put != nil:
		s.put(*op.Put)
		return operationResponse{Put: &putResponse{header{s.revision}}}
	case op.Range != nil:
		out := s.readRange(*op.Range)
		return operationResponse{Range: &out}
	case op.Delete != nil:
		for _, kv := range s.readRange(*op.Delete).KVs {
			s.remove(string(kv.Key))
		}
	}
	return operationResponse{}
}
