package fleet

import (
	"sort"
	"strings"
)

// Config is one version of the operators' configuration; it is immutable.
type Config struct {
	Version  int64
	Limits   Limits
	Teams    []Team
	Services []Service

	routesByHost   map[string][]*Route // Routes by host in lower case, longest prefix first.
	teamsByKey     map[string]*Team
	servicesByName map[string]*Service
	routeCount     int
}

// NewConfig returns a configuration indexed by host, key and service name.
func NewConfig(version int64, routes []Route, services []Service, teams []Team, limits Limits) *Config {
	c := &Config{
		Version: version, Limits: limits, Teams: teams, Services: services, routeCount: len(routes),
		routesByHost: map[string][]*Route{}, teamsByKey: map[string]*Team{}, servicesByName: map[string]*Service{},
	}
	for i := range routes {
		host := strings.ToLower(routes[i].Host)
		c.routesByHost[host] = append(c.routesByHost[host], &routes[i])
	}
	for _, list := range c.routesByHost {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	for i := range teams {
		for _, key := range teams[i].Keys {
			c.teamsByKey[key] = &teams[i]
		}
	}
	for i := range services {
		c.servicesByName[services[i].Name] = &services[i]
	}
	return c
}

// Route returns the route with the longest prefix that matches a host and path, or nil. It ignores the port and the query.
func (c *Config) Route(host, path string) *Route {
	if i := strings.IndexByte(path, '?'); i >= 0 {
		path = path[:i]
	}
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range c.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Routes returns the number of routes.
func (c *Config) Routes() int { return c.routeCount }

// RequiresKeys reports whether routes that are not public require a key.
func (c *Config) RequiresKeys() bool { return len(c.Teams) > 0 }

// Team returns the team that holds a key, or nil.
func (c *Config) Team(key string) *Team { return c.teamsByKey[key] }

// Service returns the service with the given name, or nil.
func (c *Config) Service(name string) *Service { return c.servicesByName[name] }
