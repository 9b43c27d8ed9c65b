package fleet

import (
	"sort"
	"strings"
)

// Config is a version of the operators' configuration; it is immutable.
type Config struct {
	Version  int64
	Limits   Limits
	Teams    []Team
	Services []Service

	hosts    map[string][]*Route // Longest prefix first.
	keys     map[string]*Team
	services map[string]*Service
	routes   int
}

// NewConfig indexes a configuration.
func NewConfig(version int64, routes []Route, services []Service, teams []Team, limits Limits) *Config {
	c := &Config{
		Version: version, Limits: limits, Teams: teams, Services: services, routes: len(routes),
		hosts: map[string][]*Route{}, keys: map[string]*Team{}, services: map[string]*Service{},
	}
	for i := range routes {
		host := strings.ToLower(routes[i].Host)
		c.hosts[host] = append(c.hosts[host], &routes[i])
	}
	for _, list := range c.hosts {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	for i := range teams {
		for _, key := range teams[i].Keys {
			c.keys[key] = &teams[i]
		}
	}
	for i := range services {
		c.services[services[i].Name] = &services[i]
	}
	return c
}

// Route returns the route of a host and path, or nil.
func (c *Config) Route(host, path string) *Route {
	if i := strings.IndexByte(path, '?'); i >= 0 {
		path = path[:i]
	}
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range c.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Routes returns the number of routes.
func (c *Config) Routes() int { return c.routes }

// Keyed reports whether callers need a key on routes that are not public.
func (c *Config) Keyed() bool { return len(c.Teams) > 0 }

// Team returns the team that holds a key, or nil.
func (c *Config) Team(key string) *Team { return c.keys[key] }

// Service returns the service of a name, or nil.
func (c *Config) Service(name string) *Service { return c.services[name] }
