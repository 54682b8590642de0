package relay

import (
	"cmp"
	"slices"
	"strings"

	"geraniumcroft/internal/layers"
	"geraniumcroft/internal/overload"
)

// Config is one version of the operator's configuration. It is immutable.
type Config struct {
	Version uint64
	// Services holds the plain services and the model pools by name.
	Services map[string]*Service
	Limits   Limits

	profiles   map[string][]prefixEntry  // by host, the longest prefix first
	workspaces map[string]*Workspace     // by key, nil if requests need none
	ranks      map[string]overload.Ranks // by the name of a model's service
}

// prefixEntry is a profile with its prefix in the form in which paths are compared, see normalizePath.
type prefixEntry struct {
	prefix string
	*Profile
}

// Service is a pool of replicas.
type Service struct {
	Name string
	// Model describes the engines of a pool whose replicas hold ranges of layers. It is nil if each
	// replica serves requests by itself.
	Model *layers.Spec
}

// Workspace is the owner of one or more API keys.
type Workspace struct {
	Name string
	// Priority overrides the profile's priority if HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits bound the size of a caller's request. 0 means no limit.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
}

// NewConfig returns a configuration in which profiles are looked up by host and path, and workspaces by API
// key. If keys is nil, requests need no key; if it is empty, none has access but to public profiles.
func NewConfig(version uint64, profiles []*Profile, keys map[string]*Workspace, services map[string]*Service, limits Limits) *Config {
	c := &Config{Version: version, Services: services, Limits: limits, workspaces: keys, profiles: map[string][]prefixEntry{}}
	for _, p := range profiles {
		c.profiles[p.Host] = append(c.profiles[p.Host], prefixEntry{prefix: normalizePath(p.Prefix), Profile: p})
	}
	for _, list := range c.profiles {
		slices.SortStableFunc(list, func(a, b prefixEntry) int { return cmp.Compare(len(b.prefix), len(a.prefix)) })
	}
	return c
}

// EnableOverloadControl makes priorities decide who is served at each model's service whose profiles
// differ in priority. It must be called before the configuration is shared.
func (c *Config) EnableOverloadControl() {
	c.ranks = map[string]overload.Ranks{}
	for name, priorities := range c.profilePriorities() {
		if len(priorities) < 2 {
			continue
		}
		c.ranks[name] = c.ranksOf(priorities)
		c.Services[name].Model.PlaceForBottleneck = true
	}
}

// profilePriorities returns the different priorities of the profiles of each model's service.
func (c *Config) profilePriorities() map[string]map[int]bool {
	priorities := map[string]map[int]bool{}
	for _, profiles := range c.profiles {
		for _, p := range profiles {
			for _, b := range p.Backends {
				if s := c.Services[b.Service]; b.Weight <= 0 || s == nil || s.Model == nil {
					continue
				}
				if priorities[b.Service] == nil {
					priorities[b.Service] = map[int]bool{}
				}
				priorities[b.Service][p.Priority] = true
			}
		}
	}
	return priorities
}

// ranksOf returns the ranks of the requests of all workspaces on profiles with the given priorities.
func (c *Config) ranksOf(profiles map[int]bool) overload.Ranks {
	var all []overload.Priority
	for priority := range profiles {
		all = append(all, overload.Priority{Workspace: priority, Profile: priority})
		for _, w := range c.workspaces {
			if w.HasPriority {
				all = append(all, overload.Priority{Workspace: w.Priority, Profile: priority})
			}
		}
	}
	return overload.NewRanks(all)
}

// Class returns how a request of a priority competes at a service, the zero value without overload
// control.
func (c *Config) Class(service string, priority overload.Priority) overload.Class {
	return c.ranks[service].Of(priority)
}

// Match returns the host's profile with the longest prefix of the escaped path, nil if there is none.
func (c *Config) Match(host, escapedPath string) *Profile {
	path := normalizePath(escapedPath)
	for _, p := range c.profiles[host] {
		if strings.HasPrefix(path, p.prefix) {
			return p.Profile
		}
	}
	return nil
}

// Workspace returns the owner of an API key, nil if the key is unknown.
func (c *Config) Workspace(key string) *Workspace { return c.workspaces[key] }

// RequiresKey reports whether requests need an API key.
func (c *Config) RequiresKey() bool { return c.workspaces != nil }

// NumProfiles returns the number of profiles.
func (c *Config) NumProfiles() int {
	n := 0
	for _, list := range c.profiles {
		n += len(list)
	}
	return n
}
