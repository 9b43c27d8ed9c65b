package main

import (
	"errors"
	"expvar"
	"io"
	"math/rand/v2"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/mustardseam/mustardseam/mustardseam/etcd"
	"github.com/mustardseam/mustardseam/mustardseam/instance"
	"github.com/mustardseam/mustardseam/mustardseam/member"
	"github.com/mustardseam/mustardseam/mustardseam/settings"
)

// serveCommand runs an entry instance.
type serveCommand struct {
	Settings string `arg:"" help:"Settings file." type:"existingfile"`
}

// errCutOff says that the grace period ended while answers were running.
var errCutOff = errors.New("stopped with answers still running")

// Run serves until SIGTERM or SIGINT, then drains; a second signal ends at once.
func (c serveCommand) Run() error {
	s, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	i, err := instance.New(config(s))
	if err != nil {
		return err
	}
	expvar.Publish("mustardseam", i.Metrics())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	<-signals
	drained := make(chan bool, 1)
	go func() { drained <- i.Stop(s.Grace) }()
	select {
	case clean := <-drained:
		if !clean {
			return errCutOff
		}
		return nil
	case <-signals:
		i.Kill()
		return errCutOff
	}
}

// config turns settings into the configuration of an instance.
func config(s settings.Settings) instance.Config {
	return instance.Config{
		ID: s.ID, Incarnation: member.NewIncarnation(s.ID, time.Now(), rand.Uint32()),
		Region: s.Region, DataCentre: s.DataCentre,
		CallerAddress: s.CallerAddress, PeerAddress: s.PeerAddress, AdminAddress: s.AdminAddress,
		Store:           etcd.Config{Addresses: s.Store.Addresses, Prefix: s.Store.Prefix, Timeout: s.Store.Timeout},
		PlatformAddress: s.Platform.Address, PlatformPoll: s.Platform.Poll,
		PeerKey: []byte(s.PeerKey.Value()), PreviousPeerKey: []byte(s.PreviousPeerKey.Value()),
		BodyBytes: s.Limits.BodyBytes, HeaderBytes: s.Limits.HeaderBytes, LineBytes: s.Limits.LineBytes,
		Connections: s.Limits.Connections, Idle: s.Limits.Idle, Request: s.Limits.Request, Waiting: s.Limits.Waiting,
		ReplayBytes: s.Replay.Bytes, Log: logger(s.Log),
	}
}

// logger returns a logger to standard error.
func logger(l settings.Log) zerolog.Logger {
	level, err := zerolog.ParseLevel(l.Level)
	if err != nil {
		level = zerolog.InfoLevel
	}
	var w io.Writer = os.Stderr
	if l.Format == settings.Console {
		w = zerolog.ConsoleWriter{Out: os.Stderr}
	}
	return zerolog.New(w).Level(level).With().Timestamp().Logger()
}
