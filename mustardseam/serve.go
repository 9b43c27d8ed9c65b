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

// errUnfinishedAnswers means that the instance stopped while answers were still running, at the end of the grace period
// or on a second signal.
var errUnfinishedAnswers = errors.New("stopped with answers still running")

// Run serves until SIGTERM or SIGINT and then drains the instance; a second signal stops it at once.
func (c serveCommand) Run() error {
	s, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	i, err := instance.New(instanceConfig(s))
	if err != nil {
		return err
	}
	expvar.Publish("mustardseam", i.Metrics())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	<-signals
	drained := make(chan bool, 1)
	go func() { drained <- i.Stop(s.GracePeriod) }()
	select {
	case clean := <-drained:
		if !clean {
			return errUnfinishedAnswers
		}
		return nil
	case <-signals:
		i.Kill()
		return errUnfinishedAnswers
	}
}

// instanceConfig converts settings to the configuration of an instance.
func instanceConfig(s settings.Settings) instance.Config {
	return instance.Config{
		ID: s.ID, Incarnation: member.NewIncarnation(s.ID, time.Now(), rand.Uint32()),
		Region: s.Region, DataCentre: s.DataCentre,
		CallerAddress: s.CallerAddress, PeerAddress: s.PeerAddress, AdminAddress: s.AdminAddress,
		Store:           etcd.Config{Addresses: s.Store.Addresses, Prefix: s.Store.Prefix, Timeout: s.Store.Timeout},
		PlatformAddress: s.Platform.Address, PlatformPollInterval: s.Platform.PollInterval,
		PeerKey: []byte(s.PeerKey.Value()), PreviousPeerKey: []byte(s.PreviousPeerKey.Value()),
		MaxBodyBytes: s.Limits.MaxBodyBytes, MaxHeaderBytes: s.Limits.MaxHeaderBytes, MaxLineBytes: s.Limits.MaxLineBytes,
		MaxConns: s.Limits.MaxConns, IdleTimeout: s.Limits.IdleTimeout, RequestTimeout: s.Limits.RequestTimeout, MaxWaiting: s.Limits.MaxWaiting,
		MaxReplayBytes: s.Replay.MaxBytes, Log: newLogger(s.Log),
	}
}

// newLogger returns a logger that writes to standard error.
func newLogger(l settings.Log) zerolog.Logger {
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
