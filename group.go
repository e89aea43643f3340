package sardine

// GroupState is a stage in the life of a group.
type GroupState uint8

// The stages of a group's life.
const (
	GroupAssigned GroupState = iota + 1 // members chosen in the log, orders not yet confirmed
	GroupLoading                        // every member confirmed the order
	GroupServing                        // every member is ready under the current epoch
	GroupDegraded                       // a member is missing; not routable
	GroupFenced                         // dissolved; members not yet known to be free
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

// Member is one VM's place in a group.
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

// Order tells an engine to take a place in a group, or to release it.
type Order struct {
	Group   GroupID
	Epoch   Epoch
	Rank    int
	Size    int // members in the group
	Model   ModelName
	Version string
	Release bool   // drop the group instead of joining it
	Open    bool   // take the group's requests, rank 0 only, once it is ready
	Members []VMID // of the group, by rank
	VM      VMID   // that the order is for
	Stage   bool   // bring the model's weights to the host, whatever else it does
}

// Same reports whether two orders ask for the same. The members of a group
// follow from its epoch.
func (o Order) Same(other Order) bool {
	return o.Group == other.Group && o.Epoch == other.Epoch && o.Rank == other.Rank && o.Size == other.Size &&
		o.Model == other.Model && o.Version == other.Version &&
		o.Release == other.Release && o.Open == other.Open && o.Stage == other.Stage
}
