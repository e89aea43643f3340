package ctrl

import (
	"net/http"
	"slices"

	"goji.io"
	"goji.io/pat"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/oper"
	"sardineswitch.dev/sardine/plan"
	"sardineswitch.dev/sardine/quorum"
	"sardineswitch.dev/sardine/repl"
	"sardineswitch.dev/sardine/reply"
	"sardineswitch.dev/sardine/state"
	"sardineswitch.dev/sardine/status"
)

// addOperations routes the requests of operators and the platform to any node.
func (n *Node) addOperations(mux *goji.Mux) {
	mux.HandleFunc(pat.Get("/healthz"), n.handleHealth)
	mux.HandleFunc(pat.Get("/readyz"), n.handleReady)
	mux.Handle(pat.Get("/metrics"), n.instruments.meter.Handler())
	mux.HandleFunc(pat.Get(status.DumpPath), n.requireToken(oper.RequireOperator(), n.handleDump))
	mux.HandleFunc(pat.Get(status.Path), n.requireToken(oper.RequireReader(), n.handleStatus))
	mux.HandleFunc(pat.Get("/sardine/v1/explain/group/:group"), n.requireToken(oper.RequireReader(), n.handleExplain))
}

// requireToken passes on only requests whose token grants the needed scope.
func (n *Node) requireToken(needed oper.Requirement, next http.HandlerFunc) http.HandlerFunc {
	return n.access.Guard(needed, n.tokens, writeError, next)
}

func writeError(w http.ResponseWriter, err error) {
	reply.NewProblem(err, reply.WithRan(sardine.RanNo)).Write(w)
}

func (n *Node) handleHealth(w http.ResponseWriter, _ *http.Request) {
	reply.WriteJSON(w, http.StatusOK, struct {
		Node  string `json:"node"`
		Alive bool   `json:"alive"`
	}{string(n.id), true})
}

// handleReady reports whether a leader is known, this node or another one.
func (n *Node) handleReady(w http.ResponseWriter, _ *http.Request) {
	info := n.log.Leader()
	status := http.StatusOK
	if info.ID == "" {
		status = http.StatusServiceUnavailable
	}
	reply.WriteJSON(w, status, struct {
		Node   string `json:"node"`
		Ready  bool   `json:"ready"`
		Leader string `json:"leader"`
	}{string(n.id), info.ID != "", string(info.ID)})
}

// handleExplain explains the state of a group. Only the leader can answer.
func (n *Node) handleExplain(w http.ResponseWriter, r *http.Request) {
	if !n.log.Leader().IsLeader {
		writeError(w, codes.New(codes.NotLeader, "ask the leader at %s", n.log.Leader().Address))
		return
	}
	id := sardine.GroupID(pat.Param(r, "group"))
	reply.WriteJSON(w, http.StatusOK, struct {
		Group string   `json:"group"`
		Lines []string `json:"lines"`
	}{string(id), n.leadership.explain(id)})
}

func (l *leadership) explain(id sardine.GroupID) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.planner.Explain(id)
}

// Dump is the node's state as served by the dump endpoint.
type Dump struct {
	Node               string        `json:"node"`
	Site               string        `json:"site"`
	Leader             string        `json:"leader"`
	Leading            bool          `json:"leading"`
	Term               uint64        `json:"term"`
	Quorum             *QuorumDump   `json:"quorum,omitempty"` // nil on nodes that don't know: followers and learners
	Log                repl.Status   `json:"log"`
	Teams              []TeamDump    `json:"teams"`
	Entries            []EntryDump   `json:"entries"`
	Targets            []TargetDump  `json:"targets"`
	Groups             []GroupDump   `json:"groups"`
	Owners             []state.Owner `json:"owners"`
	Claims             int           `json:"claims"`
	Poisons            int           `json:"poisons"`
	Waits              []plan.Wait   `json:"waits"`
	InvariantViolation string        `json:"breach,omitempty"`
}

// QuorumDump is the number of voters, of those that answer this node, and of those that
// a quorum needs.
type QuorumDump struct {
	Voters           int              `json:"voters"`
	Answering        int              `json:"answering"`
	Needed           int              `json:"needed"`
	Silent           []sardine.NodeID `json:"silent"`
	LeaderlessMillis int64            `json:"leaderless_millis"` // how long no leader has been known, 0 if one is
}

// TeamDump is one team's newest settings version.
type TeamDump struct {
	Team    string `json:"team"`
	Version uint64 `json:"version"`
	Index   uint64 `json:"index"`
}

// EntryDump is one entry node.
type EntryDump struct {
	Node        string `json:"node"`
	Incarnation uint64 `json:"incarnation"`
	DataCentre  string `json:"data_centre"`
	Address     string `json:"address"`
	Applied     uint64 `json:"applied"`
	LeaseMillis int64  `json:"lease_millis"`
}

// TargetDump is one target VM.
type TargetDump struct {
	VM          string `json:"vm"`
	Incarnation uint64 `json:"incarnation"`
	Kind        string `json:"kind"`
	Address     string `json:"address"`
	Domain      string `json:"domain,omitempty"`
	Leaving     bool   `json:"leaving,omitempty"`
}

// GroupDump is one group.
type GroupDump struct {
	Group   string   `json:"group"`
	Epoch   uint64   `json:"epoch"`
	Team    string   `json:"team"`
	Service string   `json:"service"`
	Version string   `json:"version"`
	Domain  string   `json:"domain"`
	State   string   `json:"state"`
	Members []string `json:"members"`
}

func (n *Node) handleDump(w http.ResponseWriter, _ *http.Request) {
	reply.WriteJSON(w, http.StatusOK, n.Dump())
}

// Dump returns the node's state, in a stable order.
func (n *Node) Dump() Dump {
	info := n.log.Leader()
	d := Dump{
		Node:    string(n.id),
		Site:    n.site,
		Leader:  string(info.ID),
		Leading: info.IsLeader,
		Term:    info.Term,
		Log:     n.log.Status(),
	}
	d.Quorum = n.dumpQuorum(d.Log.Core)
	n.log.View(func(m *state.Machine) { d.addState(m) })
	n.leadership.addDump(n.clock.Now(), &d)
	return d
}

func (n *Node) dumpQuorum(s quorum.Status) *QuorumDump {
	if m, leads := s.Margin(); leads {
		return &QuorumDump{Voters: m.Voters, Answering: m.Answering, Needed: m.Needed, Silent: silentVoters(s)}
	}
	m, silent, ok := s.Reach()
	if !ok {
		return nil
	}
	return &QuorumDump{Voters: m.Voters, Answering: m.Answering, Needed: m.Needed, Silent: silent, LeaderlessMillis: int64(n.clock.Now() - s.LeaderSince)}
}

// silentVoters returns the voters that don't answer this leader.
func silentVoters(s quorum.Status) []sardine.NodeID {
	var silent []sardine.NodeID
	for _, p := range s.Peers {
		voter := slices.ContainsFunc(s.Members, func(m quorum.Member) bool { return m.Node == p.Node && !m.Learner })
		if voter && !p.Answers {
			silent = append(silent, p.Node)
		}
	}
	return silent
}

func (d *Dump) addState(m *state.Machine) {
	for _, name := range m.Teams() {
		if r, known := m.Current(name); known {
			d.Teams = append(d.Teams, TeamDump{Team: string(name), Version: uint64(r.Version), Index: r.Index})
		}
	}
	for _, e := range m.Entries() {
		d.Entries = append(d.Entries, EntryDump{
			Node:        string(e.Node),
			Incarnation: uint64(e.Incarnation),
			DataCentre:  string(e.DataCentre),
			Address:     e.Address,
		})
	}
	for _, t := range m.Targets() {
		d.Targets = append(d.Targets, TargetDump{
			VM:          string(t.VM),
			Incarnation: uint64(t.Incarnation),
			Kind:        t.Kind.String(),
			Address:     t.Address,
			Domain:      string(t.Domain),
			Leaving:     t.Leaving,
		})
	}
	for _, g := range m.Groups() {
		d.Groups = append(d.Groups, dumpGroup(g))
	}
	d.Owners = m.Owners()
	d.Claims = len(m.Claims())
	d.Poisons = len(m.Poisons())
}

func dumpGroup(g sardine.Group) GroupDump {
	d := GroupDump{
		Group:   string(g.ID),
		Epoch:   uint64(g.Epoch),
		Team:    string(g.Team),
		Service: string(g.Service),
		Version: g.Version,
		Domain:  string(g.Domain),
		State:   g.State.String(),
	}
	for _, m := range g.Members {
		d.Members = append(d.Members, string(m.VM))
	}
	return d
}

// addDump adds what only the leader knows.
func (l *leadership) addDump(now sardine.Millis, d *Dump) {
	l.mu.Lock()
	defer l.mu.Unlock()
	d.Waits = l.waits
	if l.planError != nil {
		d.InvariantViolation = l.planError.Error()
	}
	if l.term == 0 {
		return
	}
	for _, h := range l.ledger.Holders() {
		for i := range d.Entries {
			if d.Entries[i].Node == string(h.Entry.Node) {
				d.Entries[i].Applied = h.Applied
				d.Entries[i].LeaseMillis = int64(max(h.ServingEnd-now, 0))
			}
		}
	}
}
