package main

import (
	"fmt"
	"io"
	"net"
	"text/tabwriter"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/mustardseam/mustardseam/standin/engine"
	"github.com/mustardseam/mustardseam/standin/etcd"
	"github.com/mustardseam/mustardseam/standin/orders"
	"github.com/mustardseam/mustardseam/standin/platform"
)

// standins is a set of running stand-ins with their listeners.
type standins struct {
	log       zerolog.Logger
	endpoints []endpoint
	listeners []net.Listener
	closers   []func()
	wg        conc.WaitGroup
}

// endpoint is a stand-in and the address it listens on.
type endpoint struct{ kind, name, address string }

// start starts all stand-ins; they run until close.
func start(cfg config, log zerolog.Logger) (*standins, error) {
	s := &standins{log: log}
	if err := s.startEach(cfg); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *standins) startEach(cfg config) error {
	if err := s.serve("store", "store", cfg.Store, etcd.New().Serve); err != nil {
		return err
	}
	p := &platform.Platform{Lag: cfg.Platform.ListLag, Loads: cfg.Platform.WeightLoads, Period: cfg.Platform.WeightPeriod}
	p.Set(cfg.Platform.Instances)
	if err := s.serve("platform", "platform", cfg.Platform.Address, p.Serve); err != nil {
		return err
	}
	for _, c := range cfg.Engines {
		e := engine.New(engine.Config{
			Name: c.Name, Version: c.Version, MaxBatch: c.MaxBatch, Step: c.Step, PrefillTokens: c.PrefillTokens,
			CacheBlocks: c.CacheBlocks, ColdFor: c.ColdFor, ColdLimit: c.ColdLimit, ReportLag: c.ReportLag,
			EventLag: c.EventLag, ChecksFencing: c.ChecksFencing,
		})
		s.closers = append(s.closers, e.Close)
		if err := s.serve("engine", c.Name, c.Address, e.Serve); err != nil {
			return err
		}
	}
	for _, c := range cfg.Services {
		o := &orders.Service{Delay: c.Delay, Version: c.Version}
		s.closers = append(s.closers, o.Close)
		if err := s.serve("service", c.Name, c.Address, o.Serve); err != nil {
			return err
		}
	}
	return nil
}

// serve listens on the address and runs the server until close.
func (s *standins) serve(kind, name, addr string, serve func(net.Listener) error) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("start %s: %w", name, err)
	}
	s.listeners = append(s.listeners, ln)
	s.endpoints = append(s.endpoints, endpoint{kind, name, ln.Addr().String()})
	s.wg.Go(func() {
		if err := serve(ln); err != nil {
			s.log.Error().Str("name", name).Err(err).Msg("listener failed")
		}
	})
	return nil
}

// print writes a table of the endpoints.
func (s *standins) print(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "kind\tname\taddress")
	for _, l := range s.endpoints {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\n", l.kind, l.name, l.address)
	}
	_ = t.Flush()
}

// close stops all stand-ins and waits for their servers to end.
func (s *standins) close() {
	for _, ln := range s.listeners {
		_ = ln.Close()
	}
	for _, closeStandin := range s.closers {
		closeStandin()
	}
	s.wg.Wait()
}
