package repl

import (
	"slices"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/quorum"
	"sardineswitch.dev/sardine/state"
	"sardineswitch.dev/sardine/store"
)

// rescueGap is the number of indexes that a rescue leaves out. Epochs are indexes: one
// that the lost members have assigned must not be assigned again. It exceeds the entries
// that they can have committed without any survivor.
const rescueGap = 1 << 26

// Remains describes the data folder of a stopped member.
type Remains struct {
	Node    sardine.NodeID
	Last    quorum.Position // of the last entry in the log
	Time    state.WallTime  // of the last command
	Members []quorum.Member // as the log lists them
	Settled bool            // see quorum.HardState
}

// Voters returns the other members with a vote.
func (r Remains) Voters() []sardine.NodeID {
	var voters []sardine.NodeID
	for _, m := range r.Members {
		if !m.Learner && m.Node != r.Node {
			voters = append(voters, m.Node)
		}
	}
	return voters
}

// Inspect reads the data folder of a stopped member.
func Inspect(d sardine.Disk, site string, id sardine.NodeID) (Remains, error) {
	f, err := openFolder(d, site, id)
	if err != nil {
		return Remains{}, err
	}
	return f.remains, f.files.Close()
}

// Rescue makes the member of a stopped data folder the only one, so that it can go on
// without a quorum that is lost for good. lost are the voters whose data folders are
// lost, others holds the last entry of each other voter. Together they must be all other
// voters, too few of which are left for a quorum, and none may hold a newer log: the
// newest one has all entries that any of them knows to be committed. What only lost
// members had is gone. Survivors join as new members and keep their data folders. A lost
// voter must never start with its old folder again. Errors: codes.BadRequest and those
// of store.Open.
func Rescue(d sardine.Disk, site string, id sardine.NodeID, lost []sardine.NodeID, others map[sardine.NodeID]quorum.Position) (Remains, error) {
	f, err := openFolder(d, site, id)
	if err != nil {
		return Remains{}, err
	}
	if err := checkRescue(f.remains, lost, others); err != nil {
		_ = f.files.Close() // nothing was written
		return f.remains, err
	}
	if err := f.rescue(); err != nil {
		_ = f.files.Close() // the first error counts
		return f.remains, err
	}
	return f.remains, f.files.Close()
}

// checkRescue reports why a folder must not be rescued.
func checkRescue(r Remains, lost []sardine.NodeID, others map[sardine.NodeID]quorum.Position) error {
	if !r.Settled {
		return codes.New(codes.BadRequest, "the data folder of %s may replace a lost one and lack entries; rescue another survivor", r.Node)
	}
	voters := r.Voters()
	if !slices.ContainsFunc(r.Members, func(m quorum.Member) bool { return m.Node == r.Node && !m.Learner }) {
		return codes.New(codes.BadRequest, "%s has no vote; rescue a member that has one", r.Node)
	}
	for _, n := range voters {
		_, survives := others[n]
		if slices.Contains(lost, n) == survives {
			return codes.New(codes.BadRequest, "voter %s must be named either as lost or as a survivor with its last entry", n)
		}
	}
	for _, n := range lost {
		if !slices.Contains(voters, n) {
			return codes.New(codes.BadRequest, "%s is not another voter; the voters besides %s are %v", n, r.Node, voters)
		}
	}
	for n, last := range others {
		if !slices.Contains(voters, n) {
			return codes.New(codes.BadRequest, "%s is not another voter; the voters besides %s are %v", n, r.Node, voters)
		}
		if last.Term > r.Last.Term || last.Term == r.Last.Term && last.Index > r.Last.Index {
			return codes.New(codes.BadRequest, "the log of %s is newer than that of %s; rescue it instead", n, r.Node)
		}
	}
	if left, all := len(others)+1, len(voters)+1; left >= all/2+1 {
		return codes.New(codes.BadRequest, "%d of %d voters are left, which is a quorum: start them", left, all)
	}
	return nil
}

// folder is an open data folder of a stopped member, and the state after its last entry.
type folder struct {
	files   *store.Store
	hard    quorum.HardState
	applied *appliedState
	remains Remains
}

func openFolder(d sardine.Disk, site string, id sardine.NodeID) (*folder, error) {
	files, loaded, err := store.Open(d, store.Identity{Site: site, Node: id})
	if err != nil {
		return nil, err
	}
	f := &folder{files: files, hard: loaded.Stored.Hard}
	if err := f.load(loaded, id); err != nil {
		_ = files.Close() // the first error counts
		return nil, err
	}
	return f, nil
}

// load applies all entries: without a quorum it is not known which are committed, and one
// that the callers may have been told of must not be dropped.
func (f *folder) load(loaded *store.Loaded, id sardine.NodeID) error {
	if loaded.Empty {
		return codes.New(codes.BadRequest, "the data folder holds no log")
	}
	machine, err := restoreMachine(loaded.Snapshot.Data, loaded.Snapshot.Index)
	if err != nil {
		return err
	}
	f.applied = newApplied(machine, loaded.Stored.Snapshot, len(loaded.Snapshot.Data))
	for _, e := range loaded.Stored.Entries {
		if e.Index <= loaded.Snapshot.Index {
			continue
		}
		if _, err := f.applied.applyEntries([]quorum.Entry{e}); err != nil {
			return err
		}
	}
	f.remains = Remains{
		Node:    id,
		Last:    quorum.Position{Index: f.applied.index, Term: f.applied.term},
		Time:    machine.Time(),
		Members: slices.Clone(f.applied.members),
		Settled: f.hard.Settled,
	}
	return nil
}

// rescue replaces the log by a snapshot that lists this member alone. A crash before its
// end leaves the old log or the new one.
func (f *folder) rescue() error {
	self := f.remains.Members[slices.IndexFunc(f.remains.Members, func(m quorum.Member) bool { return m.Node == f.remains.Node })]
	f.hard.Term = max(f.hard.Term, f.remains.Last.Term) + 1
	f.hard.Vote = ""
	position := quorum.Position{Index: f.remains.Last.Index + rescueGap, Term: f.hard.Term}
	f.applied.machine.Skip(position.Index)
	data, err := f.applied.machine.Snapshot()
	if err != nil {
		return err
	}
	snap := quorum.Snapshot{Position: position, Members: []quorum.Member{self}, Data: data, Size: uint64(len(data))}
	return f.files.Write(quorum.Write{Hard: &f.hard, Install: &snap})
}
