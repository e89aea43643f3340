package entry

import (
	"net/http"
	"slices"
	"strings"

	"goji.io"
	"goji.io/pat"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/admit"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/oper"
	"sardineswitch.dev/sardine/quota"
	"sardineswitch.dev/sardine/reply"
	"sardineswitch.dev/sardine/route"
	"sardineswitch.dev/sardine/status"
	"sardineswitch.dev/sardine/trace"
	"sardineswitch.dev/sardine/wire"
)

// internalMux serves other nodes and operators.
func (n *Node) internalMux() http.Handler {
	mux := goji.NewMux()
	mux.Handle(pat.New(wire.RelayPathPrefix+"*"), n.keys.SiteOnly(wire.NewRelayServer(n.follower), n.refuseUnauthenticated))
	if n.byLayout {
		mux.Handle(pat.New(passPath), n.keys.SiteOnly(http.HandlerFunc(n.handlePass), n.refuseUnauthenticated))
		mux.Handle(pat.Get(linksPath), n.keys.SiteOnly(http.HandlerFunc(n.handleLinks), n.refuseUnauthenticated))
	}
	mux.HandleFunc(pat.Get(status.DumpPath), n.guarded(oper.RequireOperator(), n.handleDump))
	mux.HandleFunc(pat.Get(status.Path), n.guarded(oper.RequireReader(), n.handleStatus))
	mux.HandleFunc(pat.Get(trace.Path+":id"), n.guarded(oper.RequireOperator(), n.handleExplain))
	mux.HandleFunc(pat.Post("/sardine/v1/drain"), n.guarded(oper.RequireOperator(), n.handleDrain))
	mux.Handle(pat.Get("/metrics"), n.meter.meter.Handler())
	mux.HandleFunc(pat.Get("/readyz"), n.handleReady)
	mux.HandleFunc(pat.Get("/healthz"), n.handleHealth)
	return mux
}

// refuseUnauthenticated answers a client without a valid certificate of the
// site's CA.
func (n *Node) refuseUnauthenticated(w http.ResponseWriter, _ *http.Request) {
	n.refuseOperator(w, codes.New(codes.KeyRefused, "this is for the site's own processes, which show a certificate of its CA"))
}

// guarded calls next for requests whose token has the needed permission.
func (n *Node) guarded(needed oper.Requirement, next http.HandlerFunc) http.HandlerFunc {
	return n.access.Guard(needed, func() oper.Tokens { return n.view().tokens }, n.refuseOperator, next)
}

// handleHealth reports that the process is running.
func (n *Node) handleHealth(w http.ResponseWriter, _ *http.Request) {
	reply.WriteJSON(w, http.StatusOK, struct {
		Node  string `json:"node"`
		Alive bool   `json:"alive"`
	}{string(n.id), true})
}

type readyJSON struct {
	Node   string `json:"node"`
	Ready  bool   `json:"ready"`
	Reason string `json:"reason,omitempty"`
}

// handleReady reports to the load balancer whether to send callers to this
// node.
func (n *Node) handleReady(w http.ResponseWriter, _ *http.Request) {
	if err := n.mayAccept(); err != nil {
		reply.WriteJSON(w, http.StatusServiceUnavailable, readyJSON{Node: string(n.id), Reason: codes.Of(err).Name()})
		return
	}
	reply.WriteJSON(w, http.StatusOK, readyJSON{Node: string(n.id), Ready: true})
}

// handleDrain starts a graceful shutdown, as SIGTERM does.
func (n *Node) handleDrain(w http.ResponseWriter, _ *http.Request) {
	n.Drain()
	reply.WriteJSON(w, http.StatusAccepted, readyJSON{Node: string(n.id), Reason: codes.Draining.Name()})
}

// handleExplain reports what the node did with one of its recent requests.
func (n *Node) handleExplain(w http.ResponseWriter, r *http.Request) {
	id := sardine.RequestID(pat.Param(r, "id"))
	node, incarnation, number, err := trace.ParseID(id)
	if err != nil {
		n.refuseOperator(w, err)
		return
	}
	k := n.traces.Find(number)
	if node != n.id || incarnation != n.incarnation || k == nil {
		n.refuseOperator(w, codes.New(codes.UnknownMember, "request %q: %s knows its last %d requests since its start", id, n.id, trace.Capacity))
		return
	}
	reply.WriteJSON(w, http.StatusOK, k.Account(n.id, n.clock.Now()))
}

type modelsJSON struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// handleModels lists the models that the caller's workspace may use.
func (n *Node) handleModels(w http.ResponseWriter, r *http.Request) {
	id := n.newRequestID()
	q, err := readCommon(n.callers, r, noBody)
	if err != nil {
		n.refuse(w, id, err)
		return
	}
	v := n.view()
	t, known := v.tenancies[q.workspace]
	if known && !tokenMatches(t.tenant.Key, q.token) {
		n.refuse(w, id, n.refuseKey(q, codes.New(codes.KeyRefused, "the token does not belong to workspace %q", q.workspace)))
		return
	}
	if !known {
		n.refuse(w, id, codes.New(codes.UnknownWorkspace, "no workspace %q", q.workspace))
		return
	}
	answer := modelsJSON{Object: "list", Data: []modelItem{}}
	for key, d := range v.deployments {
		if key.team == t.team && d.Kind == sardine.KindEngine && allows(t.tenant, d.Name) {
			answer.Data = append(answer.Data, modelItem{ID: string(d.Name), Object: "model", OwnedBy: string(key.team)})
		}
	}
	slices.SortFunc(answer.Data, func(a, b modelItem) int { return strings.Compare(a.ID, b.ID) })
	reply.WriteJSON(w, http.StatusOK, answer)
}

// Dump is the node's internal state, for operators and programs.
type Dump struct {
	Node               string          `json:"node"`
	Incarnation        uint64          `json:"incarnation"`
	DataCentre         string          `json:"data_centre"`
	Ready              bool            `json:"ready"`
	Reason             string          `json:"reason,omitempty"`
	Draining           bool            `json:"draining"`
	Links              string          `json:"links"` // to the targets: connected, suspected or isolated
	LeaseMillis        int64           `json:"lease_millis"`
	Applied            uint64          `json:"applied"`
	Versions           []VersionDump   `json:"versions"`
	Candidates         []CandidateDump `json:"candidates"`
	AnnouncedTargets   []string        `json:"homed_targets"`
	Admission          []AdmissionDump `json:"admission"`
	Routing            route.Counts    `json:"routing"`
	Limits             []LimitDump     `json:"target_limits"`
	InFlight           int             `json:"in_flight"`
	Peers              int             `json:"sound_peers"` // known entry nodes that can take requests over, while the links may be lost
	Passed             int             `json:"passed"`      // requests in flight at them
	Taken              int             `json:"taken"`       // requests in flight that other entry nodes have passed to this one
	Requests           uint64          `json:"requests"`
	Claims             int             `json:"claims"`
	InvariantViolation string          `json:"breach,omitempty"`
}

// VersionDump is the settings version of one team that is in force at the node.
type VersionDump struct {
	Team    string `json:"team"`
	Version uint64 `json:"version"`
}

// CandidateDump is one target that the node routes to.
type CandidateDump struct {
	Service string `json:"service"`
	Target  string `json:"target"`
	Address string `json:"address"`
}

// AdmissionDump is the admission state of one service.
type AdmissionDump struct {
	Service  string  `json:"service"`
	Limit    float64 `json:"limit"`
	InFlight int     `json:"in_flight"`
	Waiting  int     `json:"waiting"`
}

// LimitDump is what the node knows of the rate of requests that one target takes.
type LimitDump struct {
	Target    string  `json:"target"`
	Limit     float64 `json:"limit"` // requests per second from all entry nodes, negative for none
	AgeMillis int64   `json:"age_millis"`
	Rate      float64 `json:"rate"`   // of this node, in requests per second
	Level     float64 `json:"level"`  // requests that it may send at once
	Shared    bool    `json:"shared"` // the rate is the control leader's share
}

// Dump returns the node's state in a stable order.
func (n *Node) Dump() Dump {
	p := n.published.Load() // loaded once: the lease is valid for this view only
	v := p.view
	now := n.clock.Now()
	serves, _ := p.lease.Ends()
	d := Dump{
		Node:             string(n.id),
		Incarnation:      uint64(n.incarnation),
		DataCentre:       string(n.dataCentre),
		Draining:         n.draining.Load(),
		Links:            n.links.current().String(),
		LeaseMillis:      int64(max(serves-now, 0)),
		Applied:          v.index,
		Versions:         []VersionDump{},
		Candidates:       []CandidateDump{},
		AnnouncedTargets: n.announcedNames(),
		InFlight:         n.inFlight.count(),
		Requests:         n.requests.Load(),
		Claims:           n.claims.count(),
		Taken:            n.taken.inFlight(),
	}
	d.Peers, d.Passed = n.peers.counts()
	if err := n.invariantError(); err != nil {
		d.InvariantViolation = err.Error()
	}
	switch {
	case d.InvariantViolation != "":
		d.Reason = codes.InvariantBroken.Name()
	case d.Draining:
		d.Reason = codes.Draining.Name()
	case d.LeaseMillis == 0:
		d.Reason = codes.NoLease.Name()
	}
	d.Ready = d.Reason == ""
	d.addView(v)
	views, counts := n.gate.dump()
	d.Routing = counts
	d.addGates(views)
	d.addLimits(n.gate.limitViews())
	return d
}

func (d *Dump) addView(v *view) {
	for name, version := range v.versions {
		d.Versions = append(d.Versions, VersionDump{Team: string(name), Version: uint64(version)})
	}
	slices.SortFunc(d.Versions, func(a, b VersionDump) int { return strings.Compare(a.Team, b.Team) })
	for key, candidates := range v.candidates {
		for _, c := range candidates {
			d.Candidates = append(d.Candidates, CandidateDump{Service: string(key.routeName()), Target: c.Ref.String(), Address: c.Address})
		}
	}
	slices.SortFunc(d.Candidates, func(a, b CandidateDump) int {
		return strings.Compare(a.Service+" "+a.Target, b.Service+" "+b.Target)
	})
}

func (d *Dump) addGates(views []admit.ServiceView) {
	d.Admission = make([]AdmissionDump, 0, len(views))
	for _, g := range views {
		d.Admission = append(d.Admission, AdmissionDump{
			Service:  string(g.Service),
			Limit:    g.Limit,
			InFlight: g.InFlight,
			Waiting:  g.Live + g.Normal + g.Batch,
		})
	}
}

func (d *Dump) addLimits(views []quota.LimitView) {
	d.Limits = make([]LimitDump, 0, len(views))
	for _, l := range views {
		ref := route.Ref{VM: l.Target.VM, Incarnation: l.Target.Incarnation}
		d.Limits = append(d.Limits, LimitDump{
			Target: ref.String(), Limit: l.Limit, AgeMillis: int64(l.Age), Rate: l.Rate, Level: l.Level, Shared: l.Shared,
		})
	}
}

func (n *Node) announcedNames() []string {
	n.homeMu.Lock()
	defer n.homeMu.Unlock()
	names := []string{}
	for _, s := range n.home.Targets(n.clock.Now()) {
		names = append(names, string(s.Announcement.VM))
	}
	return names
}

func (n *Node) handleDump(w http.ResponseWriter, _ *http.Request) {
	reply.WriteJSON(w, http.StatusOK, n.Dump())
}
