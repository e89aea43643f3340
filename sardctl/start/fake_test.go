package start

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/oper"
	"sardineswitch.dev/sardine/reply"
	"sardineswitch.dev/sardine/route"
	"sardineswitch.dev/sardine/state"
	"sardineswitch.dev/sardine/status"
	"sardineswitch.dev/sardine/team"
	"sardineswitch.dev/sardine/trace"
	"sardineswitch.dev/sardine/wire"
)

const (
	startMillis = 1764817200000 // 2025-12-04 03:00:00 UTC
	nowMillis   = startMillis + 95_000
)

const adinkra = `cut_policy = "hold_changes"

[deployments.surtitle]
kind = "engine"
model = "surtitle"
model_version = "7"
group_size = 2
groups = 1

[deployments.box_office]
kind = "plain"
`

// fake is a single control node that applies commands at once, without a quorum.
type fake struct {
	wire.Control // nil; stands for methods that no command calls

	mu            sync.Mutex
	machine       *state.Machine
	input         status.Input
	history       *status.History
	isLeader      bool
	holdChanges   bool        // changes are durable but never in force
	repliesToDrop int         // number of replies that are lost after the change is applied
	draining      atomic.Bool // the server closes after its next dump
	learnerBehind bool        // a learner lacks log entries
	token         string
	members       []*wire.QuorumMember
	server        *httptest.Server
}

func newFake() *fake {
	f := &fake{machine: state.NewMachine(), history: status.NewHistory(), isLeader: true, learnerBehind: true, token: testToken}
	f.input = status.Input{Node: "osu-control", Role: status.RoleControl, Site: "accra", At: startMillis, Leader: "osu-control"}
	mux := http.NewServeMux()
	mux.Handle(wire.ControlPathPrefix, wire.NewControlServer(f))
	mux.HandleFunc("GET "+status.Path, f.serveStatus)
	mux.HandleFunc("GET "+status.DumpPath, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprint(w, `{"node":"osu-control","applied":12,"in_flight":2}`)
		if f.draining.Load() {
			go f.server.Close() // Close waits for this response
		}
	})
	mux.HandleFunc("POST /sardine/v1/drain", func(http.ResponseWriter, *http.Request) { f.draining.Store(true) })
	mux.HandleFunc("GET /sardine/v1/explain/group/{group}", func(w http.ResponseWriter, r *http.Request) {
		_, _ = fmt.Fprintf(w, `{"group":%q,"lines":["waits for a spare in rack-1"]}`, r.PathValue("group"))
	})
	mux.HandleFunc("GET "+trace.Path+"{id}", func(w http.ResponseWriter, r *http.Request) {
		id := sardine.RequestID(r.PathValue("id"))
		if id != "osu-entry-1-1-2" {
			reply.NewProblem(codes.New(codes.UnknownMember, "request %q: osu-entry-1 knows its last 4096 requests since its start", id)).Write(w)
			return
		}
		k := trace.NewRing().Begin(2, id, 0)
		k.SetService("stage", "surtitle")
		k.SetQueueTime(12)
		k.AddDispatch(12, route.Ref{Group: "g-1", Epoch: 9})
		k.AddDispatch(70, route.Ref{Group: "g-2", Epoch: 5})
		k.SetFirstToken(95)
		k.Finish(240, trace.Outcome{Ran: sardine.RanYes, Tokens: 31})
		reply.WriteJSON(w, http.StatusOK, k.Account("osu-entry-1", 4*sardine.Second))
	})
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	mux.Handle("/sardine/v1/", oper.Handler(f))
	f.server = httptest.NewServer(mux)
	f.populate()
	return f
}

func (f *fake) address() string {
	return f.server.Listener.Addr().String()
}

// populate sets up a small site in which everything is healthy.
func (f *fake) populate() {
	apply := func(c state.Command) {
		if err := f.apply(c).Err; err != nil {
			panic(err)
		}
	}
	for _, n := range []sardine.NodeID{"osu-entry-1", "tema-entry-1"} {
		apply(state.JoinEntry{Node: n, Incarnation: 1, Address: f.address(), DataCentre: "osu"})
		f.input.Leases = append(f.input.Leases, status.EntryLease{Node: n, Held: true, Applied: 1 << 40})
	}
	apply(state.ChangeSettings{Team: "adinkra", ChangeID: "first", Document: adinkra, Author: "esi", Path: "/teams/adinkra"})
	var members []sardine.Member
	for i, vm := range []sardine.VMID{"vm-1", "vm-2", "vm-3"} {
		apply(state.TargetUp{Target: state.Target{
			VM: vm, Incarnation: 1, Kind: sardine.KindEngine, DataCentre: "osu", Domain: "rack-1", Accelerators: 4, ChecksEpoch: true,
		}})
		f.input.Announced = append(f.input.Announced, status.AnnouncedTarget{VM: vm, Incarnation: 1, Present: true})
		if i < 2 {
			members = append(members, sardine.Member{VM: vm, Incarnation: 1, Rank: i})
		}
	}
	apply(state.TargetUp{Target: state.Target{VM: "app-1", Incarnation: 1, Kind: sardine.KindPlain, DataCentre: "osu", Service: "box_office"}})
	f.input.Announced = append(f.input.Announced, status.AnnouncedTarget{VM: "app-1", Incarnation: 1, Present: true})
	apply(state.AssignGroup{Group: sardine.Group{ID: "g-1", Team: "adinkra", Service: "surtitle", Domain: "rack-1", Members: members}})
	apply(state.MoveGroup{Group: "g-1", Epoch: sardine.Epoch(f.machine.Index()), State: sardine.GroupServing})
	for i, n := range []sardine.NodeID{"osu-control", "tema-control", "legon-control"} {
		address := fmt.Sprintf("10.1.%d.5:7070", i+1)
		f.input.Peers = append(f.input.Peers, status.Peer{Node: n, Address: address, Leader: i == 0, Reachable: true})
		f.members = append(f.members, &wire.QuorumMember{Node: string(n), Address: address})
	}
	f.report()
	f.input.At = nowMillis
}

// simulate changes the site as a line "fake NAME" of a script says.
func (f *fake) simulate(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch name {
	case "member lost":
		f.input.Announced[1].Present = false
		g, _ := f.machine.Group("g-1")
		f.apply(state.MoveGroup{Group: "g-1", Epoch: g.Epoch, State: sardine.GroupDegraded})
	case "quorum lost":
		f.isLeader, f.input.Leader = false, ""
		f.input.Peers[1].Reachable, f.input.Peers[2].Reachable = false, false
	case "entry cut off":
		f.input.Leases[1].Held = false
	case "changes held":
		f.holdChanges = true
	case "answer lost":
		f.repliesToDrop = 1
	case "other change":
		r, _ := f.machine.Current("adinkra")
		f.apply(state.ChangeSettings{Team: "adinkra", Base: r.Version, ChangeID: "other", Document: adinkra + "idempotent = [\"GET\"]\n", Author: "kofi", Path: "/teams/adinkra/deployments/box_office"})
	case "poison":
		f.apply(state.Strike{Fingerprint: []byte{0x9f, 0x86}, Failure: state.TargetFailure{Group: "g-1"}})
		f.apply(state.Strike{Fingerprint: []byte{0x9f, 0x86}, Failure: state.TargetFailure{Group: "g-2"}})
	case "other token":
		f.token = "right"
	case "no token":
		f.token = ""
	default:
		panic("unknown event " + name)
	}
}

func (f *fake) apply(c state.Command) state.Result {
	return f.machine.Apply(f.machine.Index()+1, startMillis, c)
}

func (f *fake) report() status.Report {
	return status.Build(f.machine, f.input, f.history)
}

func (f *fake) serveStatus(w http.ResponseWriter, _ *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	text, err := status.Encode(f.report())
	if err != nil {
		panic(err)
	}
	_, _ = w.Write(text)
}

// Authorise implements oper.Backend.
func (f *fake) Authorise(_ context.Context, token string, _ sardine.Team) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.token != "" && token != f.token {
		return codes.New(codes.KeyRefused, "the token is missing, unknown or expired")
	}
	return nil
}

// Open implements oper.Backend.
func (f *fake) Open() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.token == "" && len(f.machine.Tokens()) == 0
}

// Propose implements oper.Backend.
func (f *fake) Propose(c state.Command) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.isLeader {
		return codes.New(codes.NotLeader, "this control node does not lead")
	}
	return f.apply(c).Err
}

// View implements oper.Backend.
func (f *fake) View(show func(m *state.Machine)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	show(f.machine)
}

func wireFault(err error) *wire.Fault {
	if err == nil {
		return nil
	}
	detail := err.Error()
	if coded, is := err.(*codes.Error); is {
		detail = coded.Message()
	}
	return &wire.Fault{Code: int32(codes.Of(err)), Detail: detail}
}

// Settings implements wire.Control.
func (f *fake) Settings(_ context.Context, r *wire.SettingsRequest) (*wire.SettingsReply, error) {
	if err := f.Authorise(context.Background(), r.Token, ""); err != nil {
		return &wire.SettingsReply{Fault: wireFault(err)}, nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.isLeader {
		return &wire.SettingsReply{Fault: wireFault(codes.New(codes.NotLeader, "this control node does not lead"))}, nil
	}
	reply, err := f.settings(r)
	if f.repliesToDrop > 0 && r.ChangeId != "" {
		f.repliesToDrop--
		panic(http.ErrAbortHandler)
	}
	reply.Fault = wireFault(err)
	return reply, nil
}

func (f *fake) settings(r *wire.SettingsRequest) (*wire.SettingsReply, error) {
	if r.Operation == "teams" {
		reply := &wire.SettingsReply{}
		for _, t := range f.machine.Teams() {
			reply.Teams = append(reply.Teams, string(t))
		}
		return reply, nil
	}
	path, err := team.ParsePath(r.Path)
	if err != nil {
		return &wire.SettingsReply{}, err
	}
	switch r.Operation {
	case "get":
		return f.get(path, r)
	case "history":
		reply := &wire.SettingsReply{}
		for _, v := range f.machine.History(path.Team()) {
			reply.History = append(reply.History, state.RevisionToWire(v))
		}
		return reply, nil
	default:
		return f.change(path, r)
	}
}

func (f *fake) get(path team.Path, r *wire.SettingsRequest) (*wire.SettingsReply, error) {
	for _, v := range f.machine.History(path.Team()) {
		current, _ := f.machine.Current(path.Team())
		if uint64(v.Version) == r.Version || r.Version == 0 && v.Version == current.Version {
			text, err := team.Get(v.Document, path.String())
			return &wire.SettingsReply{Version: uint64(v.Version), Document: text, InForce: !f.holdChanges}, err
		}
	}
	return &wire.SettingsReply{}, codes.New(codes.UnknownPath, "%s has no settings at version %d", path, r.Version)
}

func (f *fake) change(path team.Path, r *wire.SettingsRequest) (*wire.SettingsReply, error) {
	current, _ := f.machine.Current(path.Team())
	document, err := team.Replace(current.Document, path.String(), r.Document)
	if r.Operation == "delete" {
		document, err = team.Delete(current.Document, path.String())
	}
	if err == nil {
		_, err = team.Parse(path.Team(), document)
	}
	if err != nil {
		return &wire.SettingsReply{}, err
	}
	result := f.apply(state.ChangeSettings{
		Team: path.Team(), Base: sardine.Version(r.Base), ChangeID: r.ChangeId, Document: document, Author: r.Author, Path: r.Path,
	})
	reply := &wire.SettingsReply{Version: uint64(result.Version), Repeat: result.Repeat, InForce: !f.holdChanges}
	if codes.Is(result.Err, codes.VersionRace) {
		reply.Document, _ = team.Get(current.Document, path.String())
		reply.History = []*wire.Revision{state.RevisionToWire(current)}
	}
	if result.Err == nil && f.holdChanges {
		return reply, codes.New(codes.ChangeHeld, "the change is durable; not yet in force on [tema-entry-1]")
	}
	return reply, result.Err
}

// Members implements wire.Control. The first promotion of a learner fails because
// it lacks entries, the second succeeds.
func (f *fake) Members(_ context.Context, r *wire.MembersRequest) (*wire.MembersReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at := slices.IndexFunc(f.members, func(m *wire.QuorumMember) bool { return m.Node == r.Node })
	var err error
	switch {
	case r.Operation == "list":
	case r.Operation == "add":
		f.members = append(f.members, &wire.QuorumMember{Node: r.Node, Address: r.Address, Learner: true})
	case at < 0:
		err = codes.New(codes.UnknownMember, "no member %q", r.Node)
	case r.Operation == "remove":
		f.members = slices.Delete(f.members, at, at+1)
	case f.learnerBehind:
		f.learnerBehind = false
		err = codes.New(codes.MemberBusy, "learner %s holds 3 of 9 entries, wait until it has caught up", r.Node)
	default:
		f.members[at].Learner = false
	}
	return &wire.MembersReply{Fault: wireFault(err), Members: f.members, Leader: f.members[0].Address}, nil
}

// Submit implements wire.Control; sardctl does not call it.
func (f *fake) Submit(context.Context, *wire.SubmitRequest) (*wire.SubmitReply, error) {
	return &wire.SubmitReply{}, nil
}

// Lend implements wire.Control; sardctl does not call it.
func (f *fake) Lend(context.Context, *wire.LendRequest) (*wire.LendReply, error) {
	return &wire.LendReply{}, nil
}

// Follow implements wire.Control; sardctl does not call it.
func (f *fake) Follow(context.Context, *wire.FollowRequest) (*wire.FollowReply, error) {
	return &wire.FollowReply{}, nil
}

// script replays the lines of a run and returns both streams.
func (f *fake) script(lines, folder string, in string) (out, errs string) {
	var o, e bytes.Buffer
	replay(f, lines, folder, in, &o, &e)
	return o.String(), e.String()
}
