package sardine

// GroupState is the state of a group.
type GroupState uint8

// The states of a group.
const (
	GroupAssigned GroupState = iota + 1 // the log has its members, not all of them confirmed their orders
	GroupLoading                        // every member confirmed its order
	GroupServing                        // every member is ready under the current epoch
	GroupDegraded                       // a member is missing; the group gets no requests
	GroupFenced                         // dissolved; not all members are known to be free
	GroupReleased                       // dissolved; every member is free
)

// String returns the name used in dumps.
func (s GroupState) String() string {
	names := [...]string{"none", "assigned", "loading", "serving", "degraded", "fenced", "released"}
	if int(s) < len(names) {
		return names[s]
	}
	return "unknown"
}

// Member is one VM of a group.
type Member struct {
	VM          VMID
	Incarnation Incarnation
	Rank        int
	Address     string
}

// Group is one replica of a model, spread over several VMs of one fabric
// domain, as the replicated log records it.
type Group struct {
	ID      GroupID
	Epoch   Epoch
	Team    Team
	Service ServiceName
	Model   ModelName
	Version string
	Domain  FabricDomain
	Members []Member // ordered by rank
	State   GroupState
}

// Order instructs an engine to join a group as a member, or to leave it.
type Order struct {
	Group   GroupID
	Epoch   Epoch
	Rank    int
	Size    int // members in the group
	Model   ModelName
	Version string
	Release bool   // leave the group instead of joining it
	Open    bool   // accept the group's requests once ready, rank 0 only
	Members []VMID // of the group, by rank
	VM      VMID   // recipient of the order
	Stage   bool   // also copy the model's weights to the engine's host
}

// Same reports whether two orders are equivalent. Members are not compared,
// since the epoch determines them.
func (o Order) Same(other Order) bool {
	return o.Group == other.Group && o.Epoch == other.Epoch && o.Rank == other.Rank && o.Size == other.Size &&
		o.Model == other.Model && o.Version == other.Version &&
		o.Release == other.Release && o.Open == other.Open && o.Stage == other.Stage
}
