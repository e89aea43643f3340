package gauge

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"runtime"
	"time"

	"github.com/spf13/cobra"

	sardine "sardineswitch.dev/sardine"
	standin "sardineswitch.dev/sardine/standin/engine"
	"sardineswitch.dev/sardine/standin/load"
	"sardineswitch.dev/sardine/standin/site"
)

// Load of the largest planned site, on all its entry nodes together.
const (
	plannedRequests = 5200.0    // per second
	plannedTokens   = 1200000.0 // per second
)

// Token counts of the two runs whose difference gives the cost of a token.
const (
	fewTokens  = 16
	manyTokens = 112
)

// entryWarmUp is the duration of the load before each run.
const entryWarmUp = 4 * sardine.Second

// siteTimeout limits the time in which the measured site starts.
const siteTimeout = 30 * time.Second

// EntryResult is the cost of one entry node over real HTTP on loopback.
type EntryResult struct {
	Seed          uint64             `json:"seed"`
	Rate          float64            `json:"requests_per_second"`
	Seconds       float64            `json:"seconds"`
	Runs          []EntryRun         `json:"runs"`
	Entry         EntryCost          `json:"entry"`     // compared with direct calls of the engine
	Floor         EntryCost          `json:"net_http"`  // of a bare reverse proxy of net/http
	AtPlannedLoad EntryAtPlannedLoad `json:"at_target"` // for the load of the largest planned site
}

// EntryRun is the result of one run of the load.
type EntryRun struct {
	Path       string  `json:"way"` // path of the requests: direct, proxy or entry
	Tokens     int     `json:"tokens"`
	Right      int     `json:"right"` // correct answers
	Other      int     `json:"other"` // wrong answers, and requests refused, incomplete or skipped
	FirstP50   float64 `json:"first_p50_ms"`
	FirstP95   float64 `json:"first_p95_ms"`
	BetweenP95 float64 `json:"between_p95_ms"`
	CoreMicros float64 `json:"core_micros_per_request"` // of the whole process
	Bytes      float64 `json:"bytes_per_request"`       // allocated by the whole process
}

// EntryCost is the cost of a path in addition to that of the direct one.
type EntryCost struct {
	FirstP95       float64 `json:"first_p95_ms"`
	BetweenP95     float64 `json:"between_p95_ms"`
	RequestMicros  float64 `json:"micros_per_request"`
	TokenMicros    float64 `json:"micros_per_token"`
	RequestBytes   float64 `json:"bytes_per_request"`
	TokenBytes     float64 `json:"bytes_per_token"`
	RequestsPerSec float64 `json:"requests_per_core_second"` // of 112 tokens
}

// EntryAtPlannedLoad is one node's share of the load of the largest planned site, and
// the processor time that it uses for it.
type EntryAtPlannedLoad struct {
	Requests    float64 `json:"requests_per_second"`
	Tokens      float64 `json:"tokens_per_second"`
	CorePercent float64 `json:"core_percent"`
}

type entryOptions struct {
	seed    uint64
	rate    float64
	seconds float64
}

func entryMeasure() Measure {
	return Measure{
		Name:    "entry",
		Short:   "Latency and cost that an entry node adds to a streamed request on loopback",
		Example: "  standin measure entry --seed 1",
		Build: func(c *cobra.Command) func(io.Writer) (any, error) {
			var o entryOptions
			c.Flags().Uint64Var(&o.seed, "seed", 1, "seed of the prompts")
			c.Flags().Float64Var(&o.rate, "rate", 100, "requests started per second")
			c.Flags().Float64Var(&o.seconds, "seconds", 5, "duration of each of the six runs in seconds")
			return func(out io.Writer) (any, error) { return measureEntry(out, o) }
		},
	}
}

func measureEntry(out io.Writer, o entryOptions) (*EntryResult, error) {
	s, err := entrySite(o.seed)
	if err != nil {
		return nil, err
	}
	defer s.Stop()
	engineAddress := s.Engines()[0].Address()
	proxy := bareProxy(engineAddress)
	defer proxy.Close()
	paths := []struct{ name, address string }{
		{"direct", engineAddress},
		{"proxy", proxy.Listener.Addr().String()},
		{"entry", s.Entries()[0].Node().PublicAddress()},
	}
	result := &EntryResult{Seed: o.seed, Rate: o.rate, Seconds: o.seconds}
	for _, w := range paths {
		for _, tokens := range []int{fewTokens, manyTokens} {
			r := runEntry(o, w.name, w.address, tokens)
			result.Runs = append(result.Runs, r)
			fmt.Fprintf(out, "%-6s %3d tokens: %d right, %d other, first token p95 %.1f ms, between p95 %.1f ms, %.0f us and %.0f bytes a request\n",
				r.Path, r.Tokens, r.Right, r.Other, r.FirstP95, r.BetweenP95, r.CoreMicros, r.Bytes)
		}
	}
	result.Floor = addedCost(result.Runs[0:2], result.Runs[2:4])
	result.Entry = addedCost(result.Runs[0:2], result.Runs[4:6])
	result.AtPlannedLoad = atPlannedLoad(result.Entry)
	return result, nil
}

// entrySite starts a site with one entry node and one group of one engine, whose
// batch is never full.
func entrySite(seed uint64) (*site.Site, error) {
	s, err := site.Start(
		site.WithSeed(seed),
		site.WithNodes(1, 1),
		site.WithEngines(1, 1),
		site.WithPlainServices(0),
		site.WithEpochChecks(false),
		site.WithEngineOptions(standin.WithBatch(4096), standin.WithSpeed(10, 5)),
	)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), siteTimeout)
	defer cancel()
	if _, err := s.Set(ctx, 0, "entry", "/teams/"+string(site.Team), site.Document(1, 1)); err != nil {
		s.Stop()
		return nil, err
	}
	if _, err := s.AwaitServing(siteTimeout, 1, 0); err != nil {
		s.Stop()
		return nil, err
	}
	return s, nil
}

// bareProxy starts the reverse proxy of the standard library, as the lower bound
// of what a Go process needs to forward a stream.
func bareProxy(address string) *httptest.Server {
	p := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: address})
	p.FlushInterval = -1
	p.Transport = &http.Transport{MaxIdleConnsPerHost: 4096, DisableCompression: true}
	return httptest.NewServer(p)
}

// entryLoad returns the load of one run or of the warm-up before it, in which the
// node's admission controller raises its limit to what the engine can run at
// once.
func entryLoad(o entryOptions, address string, tokens int, length sardine.Millis) *load.Load {
	return load.New(
		load.WithSeed(o.seed),
		load.WithTarget(address, "surtitles", string(site.Workspace)),
		load.WithRate(o.rate, length),
		load.WithStreamShare(1),
		load.WithTokens(tokens),
		load.WithMaxInFlight(8192),
	)
}

// runEntry runs the load over one path, after a warm-up.
func runEntry(o entryOptions, path, address string, tokens int) EntryRun {
	entryLoad(o, address, tokens, entryWarmUp).Run(context.Background())
	l := entryLoad(o, address, tokens, sardine.Millis(o.seconds*float64(sardine.Second)))
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	used := processorTime()
	summary := l.Run(context.Background()).Summary()
	used = processorTime() - used
	runtime.ReadMemStats(&after)
	other := summary.Wrong + summary.Refused + summary.Incomplete + summary.Skipped
	sent := float64(max(summary.Correct+other, 1))
	return EntryRun{
		Path:       path,
		Tokens:     tokens,
		Right:      summary.Correct,
		Other:      other,
		FirstP50:   summary.FirstToken.P50,
		FirstP95:   summary.FirstToken.P95,
		BetweenP95: summary.BetweenTokens.P95,
		CoreMicros: float64(used.Microseconds()) / sent,
		Bytes:      float64(after.TotalAlloc-before.TotalAlloc) / sent,
	}
}

// addedCost subtracts the direct runs from those of a path. The two token counts
// of each separate the cost of a request from that of its tokens.
func addedCost(direct, path []EntryRun) EntryCost {
	few := path[0].CoreMicros - direct[0].CoreMicros
	many := path[1].CoreMicros - direct[1].CoreMicros
	fewBytes := path[0].Bytes - direct[0].Bytes
	manyBytes := path[1].Bytes - direct[1].Bytes
	c := EntryCost{
		FirstP95:    path[1].FirstP95 - direct[1].FirstP95,
		BetweenP95:  path[1].BetweenP95 - direct[1].BetweenP95,
		TokenMicros: (many - few) / (manyTokens - fewTokens),
		TokenBytes:  (manyBytes - fewBytes) / (manyTokens - fewTokens),
	}
	c.RequestMicros = few - fewTokens*c.TokenMicros
	c.RequestBytes = fewBytes - fewTokens*c.TokenBytes
	c.RequestsPerSec = 1e6 / many
	return c
}

// atPlannedLoad returns the cost of one node at the load of the largest planned
// site.
func atPlannedLoad(c EntryCost) EntryAtPlannedLoad {
	t := EntryAtPlannedLoad{Requests: plannedRequests / maxPlannedNodes, Tokens: plannedTokens / maxPlannedNodes}
	t.CorePercent = (t.Requests*c.RequestMicros + t.Tokens*c.TokenMicros) / 1e4
	return t
}
