// Package paths finds the route and the workspace of a caller's request in a
// layout. A Table is never changed, so that requests may read it without a lock.
package paths

import (
	"strings"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
)

// Table is a layout arranged for lookups.
type Table struct {
	layout   sardine.Layout
	hosts    map[string]map[string]*sardine.Route // by host and prefix
	keys     map[string]*sardine.KeyTenant
	services map[sardine.ServiceName]*sardine.Service
}

// New arranges a layout, which must not be changed any more.
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

// Layout returns the layout that the table was made from. Its parts must not be
// changed.
func (t *Table) Layout() sardine.Layout {
	return t.layout
}

// Route returns the route of the host with the longest prefix that begins the
// path. The error carries codes.UnknownService.
func (t *Table) Route(host, path string) (*sardine.Route, error) {
	prefixes := t.hosts[strings.ToLower(host)]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := prefixes[path[:end+1]]; r != nil {
			return r, nil
		}
	}
	return nil, codes.New(codes.UnknownService, "no route of host %q begins path %q", host, path)
}

// Tenant returns the workspace that holds the key, nil on a route that takes
// callers without one. The error carries codes.KeyRefused.
func (t *Table) Tenant(r *sardine.Route, key string) (*sardine.KeyTenant, error) {
	if k := t.keys[key]; k != nil && key != "" {
		return k, nil
	}
	if r.Public || len(t.layout.Tenants) == 0 {
		return nil, nil
	}
	return nil, codes.New(codes.KeyRefused, "the key belongs to no workspace")
}

// Service returns a service by its name, nil for an unknown one.
func (t *Table) Service(name sardine.ServiceName) *sardine.Service {
	return t.services[name]
}

// Split picks a part of the route's split by a uniform number in [0,1).
func Split(r *sardine.Route, u float64) sardine.ServiceName {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	left := int(u * float64(total))
	for _, s := range r.Split {
		if left < s.Weight {
			return s.Service
		}
		left -= s.Weight
	}
	return r.Split[len(r.Split)-1].Service
}
