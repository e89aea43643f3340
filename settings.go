package sardine

// Objective weighs the two costs the planner trades against each other.
type Objective struct {
	DowntimeWeight float64 // per group-second not serving
	StrandedWeight float64 // per accelerator-second powered but not serving
}

// CutPolicy says what happens to a team's changes while some entry nodes are
// cut off from the control quorum.
type CutPolicy uint8

// The cut policies.
const (
	// CutRefuseRequests lets changes through once the cut-off nodes' leases
	// have lapsed; those nodes refuse new requests.
	CutRefuseRequests CutPolicy = iota + 1
	// CutHoldChanges keeps the cut-off nodes serving and holds the team's
	// changes until they are back.
	CutHoldChanges
)

// Deployment is one service that callers address.
type Deployment struct {
	Name         ServiceName
	Kind         TargetKind
	Model        ModelName // engines only
	ModelVersion string    // engines only
	GroupSize    int       // VMs in each group, engines only
	Groups       int       // groups wanted, engines only
	Floor        int       // groups kept serving through a roll, engines only
	Spares       int       // loaded spares kept in the domain, engines only
	Value        float64   // worth of one group relative to others, 1 by default
	Idempotent   []string  // plain services: methods that may be repeated
	Opens        bool      // a group serves only after its rank 0 took an order to open, engines only
	Demand       float64   // work for its groups relative to others', in groups; above 0 it stands for Groups, engines only
}

// Tenant is one workspace and its share of the team's capacity.
type Tenant struct {
	Name              Workspace
	Weight            float64 // fair share relative to other workspaces
	RequestsPerSecond float64 // 0 is no limit
	TokensPerSecond   float64 // 0 is no limit
	Services          []ServiceName
	Key               string // hash of the caller's token, empty admits without one
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
