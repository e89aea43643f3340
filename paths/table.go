// Package paths finds the route, the workspace and the service of a caller's
// request in a layout. A Table is immutable, so that requests may read it
// without a lock.
package paths

import (
	"strings"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
)

// Table is a layout indexed for lookups.
type Table struct {
	layout   sardine.Layout
	hosts    map[string]map[string]*sardine.Route // by host and prefix
	keys     map[string]*sardine.KeyTenant
	services map[sardine.ServiceName]*sardine.Service
}

// New returns a table of a layout. The layout must not be changed afterwards.
func New(l sardine.Layout) *Table {
	t := &Table{
		layout:   l,
		hosts:    make(map[string]map[string]*sardine.Route),
		keys:     make(map[string]*sardine.KeyTenant),
		services: make(map[sardine.ServiceName]*sardine.Service, len(l.Services)),
	}
	for i := range l.Routes {
		r := &l.Routes[i]
		prefixes := t.hosts[strings.ToLower(r.Host)]
		if prefixes == nil {
			prefixes = make(map[string]*sardine.Route)
			t.hosts[strings.ToLower(r.Host)] = prefixes
		}
		prefixes[r.Prefix] = r
	}
	for i := range l.Tenants {
		for _, key := range l.Tenants[i].Keys {
			t.keys[key] = &l.Tenants[i]
		}
	}
	for i := range l.Services {
		t.services[l.Services[i].Name] = &l.Services[i]
	}
	return t
}

// Layout returns the layout of the table. It must not be changed.
func (t *Table) Layout() sardine.Layout {
	return t.layout
}

// Route returns the route of the host with the longest prefix of the path. The
// error carries codes.UnknownService.
func (t *Table) Route(host, path string) (*sardine.Route, error) {
	prefixes := t.hosts[strings.ToLower(host)]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := prefixes[path[:end+1]]; r != nil {
			return r, nil
		}
	}
	return nil, codes.New(codes.UnknownService, "no route of host %q matches path %q", host, path)
}

// Tenant returns the workspace to which the key belongs. For a key that belongs
// to none it returns nil if the route is public or the layout has no
// workspaces, and otherwise an error that carries codes.KeyRefused.
func (t *Table) Tenant(r *sardine.Route, key string) (*sardine.KeyTenant, error) {
	if k := t.keys[key]; k != nil && key != "" {
		return k, nil
	}
	if r.Public || len(t.layout.Tenants) == 0 {
		return nil, nil
	}
	return nil, codes.New(codes.KeyRefused, "the key belongs to no workspace")
}

// Service returns the service with the name, nil if there is none.
func (t *Table) Service(name sardine.ServiceName) *sardine.Service {
	return t.services[name]
}

// PickService picks a service by the weights of the route's split and u, a uniform
// random number in [0,1).
func PickService(r *sardine.Route, u float64) sardine.ServiceName {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	rest := int(u * float64(total))
	for _, s := range r.Split {
		if rest < s.Weight {
			return s.Service
		}
		rest -= s.Weight
	}
	return r.Split[len(r.Split)-1].Service
}
