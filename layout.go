package sardine

// Layout is the settings of a site as one numbered document, which operators
// replace as a whole: routes, services, tenants and limits for callers. The
// document with the highest number is in force.
type Layout struct {
	Number   uint64
	Routes   []Route
	Services []Service
	Tenants  []KeyTenant
	Limits   CallerLimits
}

// RouteKind determines whether requests of a route may be retried.
type RouteKind uint8

// The kinds of route.
const (
	RouteUnsafe RouteKind = iota // requests run at most once
	RouteSafe                    // requests may run more than once
	RouteStream                  // answers are streams of numbered events
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
	Name        string
	Host        string
	Prefix      string // begins and ends with a slash
	Kind        RouteKind
	Timeout     Millis // longest time that a caller waits
	Objective   Millis // latency objective for the first byte or event
	Priority    int    // 0 is the most urgent
	MaxGap      Millis // objective for the longest pause between events, 0 if not set
	Split       []WeightedService
	MaxAttempts int  // maximum number of targets to which a request is sent
	Public      bool // accepts callers without a key
	Resumable   bool // a stream may be resumed at another target
}

// Idempotent reports whether a request of the route may run twice.
func (r Route) Idempotent() bool {
	return r.Kind == RouteSafe || r.Kind == RouteStream && r.Resumable
}

// WeightedService is a service and its weight in a route's split.
type WeightedService struct {
	Service ServiceName
	Weight  int
}

// Service is a set of targets to which routes send requests.
type Service struct {
	Name           ServiceName
	MaxConnections int         // maximum number of connections to one target, over all entry nodes
	Engine         *EngineSpec // nil for a plain service
}

// EngineSpec describes the engines of a service. Times are those of a model with
// TimeFactor 1.
type EngineSpec struct {
	Slots          int     // maximum number of requests in a group's batch
	LoadsPerSecond float64 // maximum rate at which loads from the weight store start
	LoadsAtOnce    int     // concurrent loads that the weight store serves at full rate
	Iteration      IterationTimes
	Models         []ModelSpec
}

// IterationTimes describes the duration of an engine's scheduling iterations at time
// factor 1. In one iteration the engine runs Steps decode steps for its batch
// and prefills prompts in chunks between them.
type IterationTimes struct {
	Steps           int     // decode steps per iteration
	Step            float64 // milliseconds per decode step
	PerRequest      float64 // additional milliseconds per step for each decoding request
	PerContext      float64 // additional milliseconds per step and request for each 1,000 tokens of context
	PrefillPerMilli float64 // prompt tokens prefilled per millisecond
	PrefillChunk    int     // maximum number of prompt tokens prefilled per step
}

// DecodeMillis returns the milliseconds of an iteration without prefill. Each request
// has context thousand tokens of context.
func (p IterationTimes) DecodeMillis(requests, context float64) float64 {
	return float64(p.Steps) * (p.Step + requests*(p.PerRequest+context*p.PerContext))
}

// MaxMillis returns the milliseconds of an iteration that decodes for a full
// batch, each request with 1,000 tokens of context, and prefills a whole chunk
// in each step. It is 0 if the layout does not set the times.
func (p IterationTimes) MaxMillis(slots int) float64 {
	if p.Steps == 0 || p.PrefillPerMilli <= 0 {
		return 0
	}
	return p.DecodeMillis(float64(slots), 1) + float64(p.Steps*p.PrefillChunk)/p.PrefillPerMilli
}

// ModelSpec is one model that the engines of a service serve.
type ModelSpec struct {
	Name       ModelName
	Size       int     // VMs in a group
	Share      float64 // share of the service's work, and so of its VMs
	TimeFactor float64 // factor on the times of IterationTimes
	LoadTime   Millis  // time to load the weights from the weight store
}

// KeyTenant is a workspace that callers identify by an API key.
type KeyTenant struct {
	Name        Workspace
	Keys        []string
	Priority    int  // replaces that of the route
	HasPriority bool // Priority is set
}

// CallerLimits holds the limits on callers' requests. An entry node's own settings take the
// place of those that are 0 or less.
type CallerLimits struct {
	HeaderBytes   int64
	BodyBytes     int64
	HeaderTimeout Millis // from the start of a request to the end of its header
	IdleTimeout   Millis // of a connection between two requests
}
