package sardine

// Objective holds the weights of the two costs that the planner trades off
// against each other.
type Objective struct {
	DowntimeWeight float64 // per group-second not serving
	StrandedWeight float64 // per accelerator-second powered but not serving
}

// CutPolicy determines how a team's settings changes are handled while entry
// nodes are cut off from the control quorum.
type CutPolicy uint8

// The cut policies.
const (
	// CutRefuseRequests puts changes in force once the leases of the cut-off
	// nodes have expired; those nodes refuse new requests.
	CutRefuseRequests CutPolicy = iota + 1
	// CutHoldChanges lets the cut-off nodes serve and delays the team's changes
	// until the nodes are connected again.
	CutHoldChanges
)

// Deployment is one service that callers address.
type Deployment struct {
	Name         ServiceName
	Kind         TargetKind
	Model        ModelName // engines only
	ModelVersion string    // engines only
	GroupSize    int       // VMs in each group, engines only
	Groups       int       // desired number of groups, engines only
	Floor        int       // minimum number of serving groups during a rollout, engines only
	Spares       int       // loaded spare VMs in the domain, engines only
	Value        float64   // value of one group relative to others, 1 by default
	Idempotent   []string  // HTTP methods that may be retried, plain services only
	Opens        bool      // a group serves only after its rank 0 accepted an order to open, engines only
	Demand       float64   // work relative to other deployments, in groups; replaces Groups if above 0, engines only
}

// Tenant is one workspace and its share of the team's capacity.
type Tenant struct {
	Name              Workspace
	Weight            float64 // fair share relative to other workspaces
	RequestsPerSecond float64 // 0 is no limit
	TokensPerSecond   float64 // 0 is no limit
	Services          []ServiceName
	Key               string // hash of the caller's token, empty if none is required
}

// TeamSettings is the content of one team's subtree.
type TeamSettings struct {
	Team        Team
	Version     Version
	Objective   Objective
	Cut         CutPolicy
	Deployments []Deployment
	Tenants     []Tenant
}
