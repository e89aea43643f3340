package sardine

// Layout is the whole settings of a site whose operators replace them as one
// numbered document: routes, services, tenants and the bounds on callers. The
// highest number is in force.
type Layout struct {
	Number   uint64
	Routes   []Route
	Services []Service
	Tenants  []KeyTenant
	Limits   CallerLimits
}

// RouteKind tells what may be repeated of a route's requests.
type RouteKind uint8

// The kinds of route.
const (
	RouteUnsafe RouteKind = iota // runs at most once
	RouteSafe                    // may run more than once
	RouteStream                  // answers with a series of numbered events
)

// String returns the name used in logs.
func (k RouteKind) String() string {
	names := [...]string{"unsafe", "safe", "stream"}
	if int(k) < len(names) {
		return names[k]
	}
	return "unknown"
}

// Route sends the requests of one host and path prefix to services.
type Route struct {
	Name      string
	Host      string
	Prefix    string // begins and ends with a slash
	Kind      RouteKind
	Timeout   Millis // longest time that a caller is kept waiting
	Objective Millis // to the first byte or event
	Gap       Millis // longest pause between events that is still on time, 0 if not stated
	Split     []Share
	Attempts  int  // targets that one request may be sent to
	Public    bool // takes callers without a key
	Resumable bool // a stream may go on at another target
}

// Repeatable reports whether a request of the route may run twice.
func (r Route) Repeatable() bool {
	return r.Kind == RouteSafe || r.Kind == RouteStream && r.Resumable
}

// Share is one part of a weighted split.
type Share struct {
	Service ServiceName
	Weight  int
}

// Service is a set of targets that routes name.
type Service struct {
	Name        ServiceName
	Connections int         // that one target accepts from all callers
	Engine      *EngineSpec // nil for a plain service
}

// EngineSpec describes the engines of a service. Times are those of a group at
// pace 1.
type EngineSpec struct {
	Slots          int     // requests in one batch of a group
	LoadsPerSecond float64 // loads that may begin at the weight store
	LoadsAtOnce    int     // loads that the weight store serves at its full rate
	Passes         PassTimes
	Models         []ModelSpec
}

// PassTimes tells how long a group at pace 1 works on its requests. An engine goes
// through all of them pass by pass: it reads prompts in chunks between the steps
// that write tokens.
type PassTimes struct {
	Steps       int     // of one pass
	Step        float64 // milliseconds of one step
	PerRequest  float64 // milliseconds more for each request that is written
	PerContext  float64 // milliseconds more for each 1,000 tokens of context
	ReadPerTime float64 // prompt tokens read in a millisecond
	Chunk       int     // prompt tokens read in one step at most
}

// Writing returns the milliseconds of a pass that only writes for so many
// requests, each with so many thousand tokens of context.
func (p PassTimes) Writing(requests, context float64) float64 {
	return float64(p.Steps) * (p.Step + requests*(p.PerRequest+context*p.PerContext))
}

// Longest returns the milliseconds of a pass that writes for a full batch and
// reads a whole chunk in each step, 0 if the layout does not say.
func (p PassTimes) Longest(slots int) float64 {
	if p.Steps == 0 || p.ReadPerTime <= 0 {
		return 0
	}
	return p.Writing(float64(slots), 1) + float64(p.Steps*p.Chunk)/p.ReadPerTime
}

// ModelSpec is one model that the engines of a service serve.
type ModelSpec struct {
	Name  ModelName
	Size  int     // VMs in a group
	Share float64 // of the service's work, and so of its VMs
	Pace  float64 // factor on the times of a pass
	Load  Millis  // from the weight store
}

// KeyTenant is a workspace that callers name by a key.
type KeyTenant struct {
	Name Workspace
	Keys []string
}

// CallerLimits bounds what callers may send and how long they may take.
type CallerLimits struct {
	BodyBytes int64
}
