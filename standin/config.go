package main

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/mustardseam/mustardseam/standin/platform"
)

// defaultAddress is the listen address of a stand-in without a configured one: a free loopback port.
const defaultAddress = "127.0.0.1:0"

// config lists the stand-ins to start; an empty address selects a free loopback port.
type config struct {
	Store    string          `yaml:"store"`
	Platform platformConfig  `yaml:"platform"`
	Engines  []engineConfig  `yaml:"engines"`
	Services []serviceConfig `yaml:"services"`
}

type platformConfig struct {
	Address      string              `yaml:"address"`
	ListLag      time.Duration       `yaml:"list-lag"`
	WeightLoads  int                 `yaml:"weight-loads"`
	WeightPeriod time.Duration       `yaml:"weight-period"`
	Instances    []platform.Instance `yaml:"instances"`
}

type engineConfig struct {
	Name          string        `yaml:"name"`
	Address       string        `yaml:"address"`
	Version       string        `yaml:"version"`
	MaxBatch      int           `yaml:"max-batch"`
	Step          time.Duration `yaml:"step"`
	PrefillTokens int           `yaml:"prefill-tokens"`
	CacheBlocks   int           `yaml:"cache-blocks"`
	ColdFor       int           `yaml:"cold-for"`
	ColdLimit     int           `yaml:"cold-limit"`
	ReportLag     time.Duration `yaml:"report-lag"`
	EventLag      time.Duration `yaml:"event-lag"`
	ChecksFencing bool          `yaml:"checks-fencing"`
}

type serviceConfig struct {
	Name    string        `yaml:"name"`
	Address string        `yaml:"address"`
	Version string        `yaml:"version"`
	Delay   time.Duration `yaml:"delay"`
}

// defaults returns the values of settings that a file may omit.
func defaults() config {
	return config{Store: defaultAddress, Platform: platformConfig{
		Address: defaultAddress, ListLag: 500 * time.Millisecond, WeightLoads: 4, WeightPeriod: time.Second,
	}}
}

// parseConfig decodes and validates a YAML file.
func parseConfig(b []byte) (config, error) {
	cfg := defaults()
	if err := yaml.NewDecoder(bytes.NewReader(b), yaml.DisallowUnknownField()).Decode(&cfg); err != nil {
		return config{}, err
	}
	return cfg, cfg.applyDefaultsAndValidate()
}

// configFromFlags returns a configuration of engines and services with equal settings, without a file.
func configFromFlags(c commandLine) (config, error) {
	cfg := defaults()
	for n := range c.Engines {
		cfg.Engines = append(cfg.Engines, engineConfig{
			Name: fmt.Sprintf("engine-%d", n+1), Version: "v1", MaxBatch: 8, Step: 5 * time.Millisecond, PrefillTokens: 1024,
			CacheBlocks: 2048, ColdFor: 4, ColdLimit: 2, ReportLag: 200 * time.Millisecond, EventLag: 200 * time.Millisecond,
			ChecksFencing: n%2 == 0,
		})
	}
	for n := range c.Services {
		cfg.Services = append(cfg.Services, serviceConfig{
			Name: fmt.Sprintf("orders-%d", n+1), Version: "v1", Delay: 5 * time.Millisecond,
		})
	}
	for _, text := range c.Instance {
		part := strings.Split(text, "=")
		if len(part) != 3 {
			return config{}, fmt.Errorf("instance %q must be ID=IP:port=data centre", text)
		}
		cfg.Platform.Instances = append(cfg.Platform.Instances, platform.Instance{ID: part[0], Address: part[1], DataCentre: part[2]})
	}
	return cfg, cfg.applyDefaultsAndValidate()
}

// applyDefaultsAndValidate sets omitted addresses and states and returns all errors of the configuration.
func (c *config) applyDefaultsAndValidate() error {
	var errs []error
	names := map[string]bool{}
	check := func(field, name string, addr *string) {
		if *addr == "" {
			*addr = defaultAddress
		}
		if _, err := netip.ParseAddrPort(*addr); err != nil {
			errs = append(errs, fmt.Errorf("%s: address must be IP:port, not %q", field, *addr))
		}
		if name == "" || names[name] {
			errs = append(errs, fmt.Errorf("%s: name must be set and used once", field))
		}
		names[name] = true
	}
	check("store", "store", &c.Store)
	check("platform", "platform", &c.Platform.Address)
	for n := range c.Engines {
		check(fmt.Sprintf("engines[%d]", n), c.Engines[n].Name, &c.Engines[n].Address)
	}
	for n := range c.Services {
		check(fmt.Sprintf("services[%d]", n), c.Services[n].Name, &c.Services[n].Address)
	}
	for n := range c.Platform.Instances {
		i := &c.Platform.Instances[n]
		if i.State == "" {
			i.State = "live"
		}
		if i.State != "live" && i.State != "leaving" {
			errs = append(errs, fmt.Errorf("platform.instances[%d]: state must be live or leaving", n))
		}
		check(fmt.Sprintf("platform.instances[%d]", n), "instance "+i.ID, &i.Address)
	}
	return errors.Join(errs...)
}
