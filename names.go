package sardine

// NodeID identifies an entry or control node. It is unique in a site and stays
// the same over restarts.
type NodeID string

// VMID identifies a target VM. It is the name that the VM announces.
type VMID string

// DataCentre names a data centre, such as "osu".
type DataCentre string

// FabricDomain names a set of VMs that share a fast interconnect. Names are
// unique in a site.
type FabricDomain string

// Team names the owner of one settings subtree, /teams/<team>.
type Team string

// Workspace names a tenant of a team, such as one workshop or one theatre.
type Workspace string

// GroupID identifies one replica of a model. It is unique in a site and never
// reused.
type GroupID string

// ModelName names a model that engines can load.
type ModelName string

// ServiceName names a deployment that callers address: a model or a plain
// service.
type ServiceName string

// SegmentID identifies a segment of a prompt that several requests share.
type SegmentID string

// RequestID identifies a caller's request.
type RequestID string

// Incarnation counts the starts of one VM's or node's process. A higher number
// is a later start.
type Incarnation uint64

// Epoch is a fencing token. Every assignment of a group gets a new one from the
// replicated log; epochs only increase.
type Epoch uint64

// Version counts the accepted changes of one team's settings subtree.
type Version uint64
