package entry

import (
	"net/http"
	"strconv"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/limit"
	"sardineswitch.dev/sardine/route"
)

// configureLimits applies the workspaces' rate limits of a new view.
func (n *Node) configureLimits(v *view) {
	limits := make(map[sardine.Workspace]limit.Rate)
	for name, t := range v.tenancies {
		if t.tenant.RequestsPerSecond > 0 || t.tenant.TokensPerSecond > 0 {
			limits[name] = limit.Rate{Requests: t.tenant.RequestsPerSecond, Tokens: t.tenant.TokensPerSecond}
		}
	}
	n.limitMu.Lock()
	defer n.limitMu.Unlock()
	n.limiter.Configure(n.clock.Now(), max(len(v.nodes), 1), limits)
}

// takeLimit charges a request with about the given number of tokens to its
// workspace's share.
func (n *Node) takeLimit(w sardine.Workspace, tokens float64) error {
	n.limitMu.Lock()
	defer n.limitMu.Unlock()
	d := n.limiter.Take(n.clock.Now(), w, tokens)
	if d.Allowed {
		return nil
	}
	return &refusal{cause: codes.New(codes.LimitReached, "workspace %q is over its limit", w), retryAfter: d.RetryAfter}
}

// recordLoad records the load that a target reported with its answer.
func (n *Node) recordLoad(ref route.Ref, r sardine.Reply) {
	if r.HasLoad {
		n.gate.updateLoad(ref, r.Load)
	}
}

// headerCached is the number of prompt tokens that an engine found in its
// cache.
const headerCached = "X-Sardine-Cached"

func cachedTokens(header http.Header) int {
	tokens, err := strconv.Atoi(header.Get(headerCached))
	if err != nil || tokens < 0 {
		return route.CachedUnknown
	}
	return tokens
}
