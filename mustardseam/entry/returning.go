package entry

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mustardseam/mustardseam/mustardseam/hub"
	"github.com/mustardseam/mustardseam/mustardseam/placement"
)

// returnFingerprint identifies a request over the attempts of its caller by its host, path, team, headers that describe the
// work, and body. It is computed only while requests are refused or expected to return. Unlike fingerprint it is short and
// not safe against a caller that wants to match another request of its own team, which gains the place of that one only.
func (req *request) returnFingerprint() uint64 {
	if req.returnFingerprintCache != 0 {
		return req.returnFingerprintCache
	}
	d := xxhash.New()
	team := ""
	if req.team != nil {
		team = req.team.Name
	}
	for _, field := range append([]string{req.exchange.Host(), req.exchange.RequestURI(), team}, req.meta.PromptParts...) {
		_, _ = d.WriteString(field)
		_, _ = d.Write([]byte{0})
	}
	for _, n := range []int{req.meta.PromptTokens, req.meta.MaxOutputTokens, req.meta.OutputHint} {
		_, _ = d.Write([]byte{byte(n), byte(n >> 8), byte(n >> 16), byte(n >> 24)})
	}
	_, _ = d.Write(req.exchange.Body)
	req.returnFingerprintCache = max(1, d.Sum64())
	return req.returnFingerprintCache
}

// recognizeReturn finds out whether a request was refused before. The hub is given the fingerprint of a request that this
// instance does not know, if the hub expects any.
func (i *Instance) recognizeReturn(req *request) {
	known, atHub := i.scheduler.ReturnsExpected(time.Now())
	if !known && !atHub || !i.isEngine(req) {
		return
	}
	fingerprint := req.returnFingerprint()
	if r, ok := i.scheduler.TakeReturn(time.Now(), fingerprint); ok {
		req.job = req.job.WithReturn(r.FirstArrival)
		return
	}
	if atHub {
		req.job.Fingerprint = fingerprint
	}
}

// keepPlace records a refused request, so that it keeps its place when its caller returns after the named time.
func (i *Instance) keepPlace(req *request, r *placement.Refusal) {
	if r.RetryAfter <= 0 || req.job == nil || req.job.Returned() || r.Returned || !i.isEngine(req) {
		return
	}
	now := time.Now()
	i.scheduler.ExpectReturn(now, req.returnFingerprint(), placement.NewReturn(now, req.exchange.ReceivedAt, r.RetryAfter))
}

// isEngine reports whether a request is for a service of engines, whose requests the hub places. A caller returns at any
// instance, so places are kept only where all instances can learn of them.
func (i *Instance) isEngine(req *request) bool {
	svc := req.view.Config.Service(req.service)
	return svc != nil && svc.Engine
}

// ReturnsExpected reports whether this instance and whether the hub expects refused requests to return.
func (s *Scheduler) ReturnsExpected(now time.Time) (known, atHub bool) {
	s.mu.Lock()
	known = s.returning.Any(now)
	s.mu.Unlock()
	return known, s.remote != nil && s.remote.ReturnsExpected()
}

// TakeReturn removes the entry of a request that returns.
func (s *Scheduler) TakeReturn(now time.Time, fingerprint uint64) (placement.Return, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.takeReturn(now, fingerprint)
}

// takeReturn is TakeReturn; mu must be held.
func (s *Scheduler) takeReturn(now time.Time, fingerprint uint64) (placement.Return, bool) {
	r, ok := s.returning.Take(now, fingerprint)
	if ok {
		s.returnsRecognized++
	}
	return r, ok
}

// ExpectReturn records a request that was refused here, and reports it to the hub.
func (s *Scheduler) ExpectReturn(now time.Time, fingerprint uint64, r placement.Return) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.returning.Add(now, fingerprint, r)
	if s.remote != nil {
		s.remote.ReportReturn(fingerprint, r)
	}
}

// ReturnsRecognized returns how many requests returned after a refusal and were recognized.
func (s *Scheduler) ReturnsRecognized() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.returnsRecognized
}

// Returning returns the number of refused requests that are expected to return.
func (s *Scheduler) Returning() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.returning.Len()
}

// encodeReturn returns the message form of a request that is expected to return, with times relative to now.
func encodeReturn(now time.Time, fingerprint uint64, r placement.Return) hub.ReturningRequest {
	return hub.ReturningRequest{
		Fingerprint: fingerprint, AgeMS: now.Sub(r.FirstArrival).Milliseconds(), FromMS: r.From.Sub(now).Milliseconds(),
		UntilMS: r.Until.Sub(now).Milliseconds(),
	}
}

// decodeReturn is the reverse of encodeReturn.
func decodeReturn(now time.Time, r hub.ReturningRequest) placement.Return {
	ms := func(n int64) time.Time { return now.Add(time.Duration(n) * time.Millisecond) }
	return placement.Return{FirstArrival: ms(-r.AgeMS), From: ms(r.FromMS), Until: ms(r.UntilMS)}
}
