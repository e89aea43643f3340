package state

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/wire"
)

// snapshotFormat is the format version of the snapshots that this version writes.
const snapshotFormat = 1

// Snapshot encodes the whole state. Machines that applied the same entries return
// the same bytes.
func (m *Machine) Snapshot() ([]byte, error) {
	w := m.entrySnapshot(m.History)
	for i, name := range m.Teams() {
		for _, c := range m.teams[name].changes {
			w.Teams[i].Changes = append(w.Teams[i].Changes, &wire.ChangeResult{
				ChangeId: c.ChangeID,
				Version:  uint64(c.Version),
				Index:    c.Index,
			})
		}
	}
	for _, c := range m.Claims() {
		w.Claims = append(w.Claims, claimToWire(c))
	}
	for _, t := range m.tombstones.sorted() {
		w.Tombstones = append(w.Tombstones, &wire.Tombstone{Hash: t.key, At: int64(t.at)})
	}
	return marshal(w)
}

// EntrySnapshot encodes the part of the state that an entry node needs: no claims, no
// tombstones, and only the newest revision of each team. An entry node applies later
// entries with the same effect without change ids: a resent change is based on a
// version that is no longer the current one, so it changes nothing.
func (m *Machine) EntrySnapshot() ([]byte, error) {
	return marshal(m.entrySnapshot(m.newestRevision))
}

func (m *Machine) newestRevision(t sardine.Team) []Revision {
	r, ok := m.Current(t)
	if !ok {
		return nil
	}
	return []Revision{r}
}

func (m *Machine) entrySnapshot(revisions func(sardine.Team) []Revision) *wire.Snapshot {
	w := &wire.Snapshot{Format: snapshotFormat, Index: m.index, At: int64(m.at)}
	w.TrafficOpen = m.trafficOpen
	if m.layout.Number > 0 {
		w.Layout = layoutToWire(m.layout)
	}
	for _, e := range m.Entries() {
		w.Entries = append(w.Entries, entryToWire(e))
	}
	for _, s := range m.slots.sorted() {
		w.Seats = append(w.Seats, slotToWire(s))
	}
	for _, name := range m.Teams() {
		t := &wire.Team{Name: string(name)}
		for _, r := range revisions(name) {
			t.Revisions = append(t.Revisions, RevisionToWire(r))
		}
		w.Teams = append(w.Teams, t)
	}
	for _, t := range m.Targets() {
		w.Targets = append(w.Targets, TargetToWire(t))
	}
	w.Left = m.departed.toWire()
	w.Dropped = m.dropped.toWire()
	for _, g := range m.Groups() {
		w.Groups = append(w.Groups, groupToWire(g))
	}
	for _, o := range m.Owners() {
		w.Owners = append(w.Owners, &wire.Owner{Vm: string(o.VM), Group: string(o.Group), Epoch: uint64(o.Epoch)})
	}
	for _, p := range m.Poisons() {
		w.Poisons = append(w.Poisons, poisonToWire(p))
	}
	for _, t := range m.Tokens() {
		w.Tokens = append(w.Tokens, tokenToWire(t))
	}
	return w
}

// RestoreMachine returns the machine of a Snapshot or an EntrySnapshot.
func RestoreMachine(b []byte) (*Machine, error) {
	var w wire.Snapshot
	if err := proto.Unmarshal(b, &w); err != nil {
		return nil, codes.Wrap(codes.LogDamaged, err, "decode a snapshot")
	}
	if w.GetFormat() != snapshotFormat {
		return nil, codes.New(codes.FormatVersion, "the snapshot has format %d, this version reads %d", w.GetFormat(), snapshotFormat)
	}
	m := NewMachine()
	m.index = w.GetIndex()
	m.fleetIndex = m.index // earlier changes to the fleet can't be told apart any more
	m.at = WallTime(w.GetAt())
	m.layout = layoutFromWire(w.GetLayout())
	m.trafficOpen = w.GetTrafficOpen()
	m.restoreSettings(&w)
	m.restoreTargets(&w)
	m.restoreRequests(&w)
	return m, nil
}

func (m *Machine) restoreSettings(w *wire.Snapshot) {
	for _, e := range w.GetEntries() {
		m.entries[sardine.NodeID(e.GetNode())] = entryFromWire(e)
	}
	m.slots.restore(w.GetSeats(), m.entries)
	for _, wt := range w.GetTeams() {
		t := &team{}
		for _, r := range wt.GetRevisions() {
			t.revisions = append(t.revisions, RevisionFromWire(r))
		}
		for _, c := range wt.GetChanges() {
			t.changes = append(t.changes, ChangeResult{
				ChangeID: c.GetChangeId(),
				Version:  sardine.Version(c.GetVersion()),
				Index:    c.GetIndex(),
			})
		}
		m.teams[sardine.Team(wt.GetName())] = t
	}
	for _, t := range w.GetTokens() {
		m.tokens[string(t.GetHash())] = tokenFromWire(t)
	}
}

func (m *Machine) restoreTargets(w *wire.Snapshot) {
	for _, t := range w.GetTargets() {
		m.targets[sardine.VMID(t.GetVm())] = TargetFromWire(t)
	}
	m.departed.restore(w.GetLeft())
	m.dropped.restore(w.GetDropped())
	for _, g := range w.GetGroups() {
		m.groups[sardine.GroupID(g.GetId())] = groupFromWire(g)
	}
	for _, o := range w.GetOwners() {
		m.owners[sardine.VMID(o.GetVm())] = Owner{
			VM:    sardine.VMID(o.GetVm()),
			Group: sardine.GroupID(o.GetGroup()),
			Epoch: sardine.Epoch(o.GetEpoch()),
		}
	}
}

func (m *Machine) restoreRequests(w *wire.Snapshot) {
	claims := make([]Claim, 0, len(w.GetClaims()))
	for _, c := range w.GetClaims() {
		claims = append(claims, claimFromWire(c))
	}
	m.restoreClaims(claims)
	for _, t := range w.GetTombstones() {
		m.tombstones.put(t.GetHash(), WallTime(t.GetAt()))
	}
	m.poisonIndex = m.index
	poisons := slices.Clone(w.GetPoisons())
	slices.SortStableFunc(poisons, func(a, b *wire.Poison) int { return cmp.Compare(a.GetAt(), b.GetAt()) })
	for _, p := range poisons {
		m.putPoison(poisonFromWire(p))
	}
}

// RevisionToWire converts a revision to its message.
func RevisionToWire(r Revision) *wire.Revision {
	return &wire.Revision{
		Version:  uint64(r.Version),
		Index:    r.Index,
		At:       int64(r.At),
		ChangeId: r.ChangeID,
		Author:   r.Author,
		Path:     r.Path,
		Document: r.Document,
	}
}

// RevisionFromWire is the inverse of RevisionToWire.
func RevisionFromWire(w *wire.Revision) Revision {
	return Revision{
		Version:  sardine.Version(w.GetVersion()),
		Index:    w.GetIndex(),
		At:       WallTime(w.GetAt()),
		ChangeID: w.GetChangeId(),
		Author:   w.GetAuthor(),
		Path:     w.GetPath(),
		Document: w.GetDocument(),
	}
}

func claimToWire(c Claim) *wire.Claim {
	return &wire.Claim{
		Workspace:   string(c.Workspace),
		Key:         c.Key,
		Fingerprint: c.Fingerprint,
		Node:        string(c.Node),
		Incarnation: uint64(c.Incarnation),
		Attempt:     uint64(c.Attempt),
		State:       uint32(c.State),
		At:          int64(c.At),
		Answer:      AnswerToWire(c.Answer),
	}
}

func claimFromWire(w *wire.Claim) Claim {
	return Claim{
		Workspace:   sardine.Workspace(w.GetWorkspace()),
		Key:         w.GetKey(),
		Fingerprint: w.GetFingerprint(),
		Node:        sardine.NodeID(w.GetNode()),
		Incarnation: sardine.Incarnation(w.GetIncarnation()),
		Attempt:     w.GetAttempt(),
		State:       ClaimState(w.GetState()),
		At:          WallTime(w.GetAt()),
		Answer:      AnswerFromWire(w.GetAnswer()),
	}
}
