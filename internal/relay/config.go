package relay

import (
	"cmp"
	"slices"
	"strings"

	"geraniumcroft/internal/layers"
)

// Config is the operator's configuration at one version. It is immutable.
type Config struct {
	Version uint64
	// Services are the plain services and model pools by name.
	Services map[string]*Service
	Limits   Limits

	profiles   map[string][]*Profile // by host, the longest prefix first
	workspaces map[string]*Workspace // by key
}

// Service is a pool of replicas.
type Service struct {
	Name string
	// Model describes the engines of a pool whose replicas hold ranges of layers; it
	// is nil where each replica serves requests alone.
	Model *layers.Spec
}

// Workspace owns keys.
type Workspace struct {
	Name string
	// Priority goes before the profile's where HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
}

// NewConfig indexes the profiles and the workspaces' keys.
func NewConfig(version uint64, profiles []*Profile, keys map[string]*Workspace, services map[string]*Service, limits Limits) *Config {
	c := &Config{Version: version, Services: services, Limits: limits, workspaces: keys, profiles: map[string][]*Profile{}}
	for _, p := range profiles {
		c.profiles[p.Host] = append(c.profiles[p.Host], p)
	}
	for _, list := range c.profiles {
		slices.SortStableFunc(list, func(a, b *Profile) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return c
}

// Match returns the profile with the longest prefix of the path, or nil.
func (c *Config) Match(host, path string) *Profile {
	for _, p := range c.profiles[host] {
		if strings.HasPrefix(path, p.Prefix) {
			return p
		}
	}
	return nil
}

// Workspace returns the owner of a key, or nil.
func (c *Config) Workspace(key string) *Workspace { return c.workspaces[key] }

// RequiresKey reports whether requests need a key at all.
func (c *Config) RequiresKey() bool { return len(c.workspaces) > 0 }

// NumProfiles returns how many profiles there are.
func (c *Config) NumProfiles() int {
	n := 0
	for _, list := range c.profiles {
		n += len(list)
	}
	return n
}
