package entry

import (
	"net/http"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/listen"
	"sardineswitch.dev/sardine/paths"
	"sardineswitch.dev/sardine/upload"
)

// Bounds on what a layout allows to callers, whatever it states. A connection is a descriptor,
// and a header is memory, of which a machine has only so much.
const (
	maxHeaderTimeout = 60 * sardine.Second
	maxIdleTimeout   = 3600 * sardine.Second
	maxHeaderBytes   = 1 << 20
	// headerUploadShare is the part of the memory for uploads, as a divisor, that bounds the
	// size of one header. Parsed, a header takes many times its size.
	headerUploadShare = 32
)

// bounded returns what a layout states within a bound, or the node's own setting if it
// states nothing.
func bounded[T int64 | sardine.Millis](stated, bound, own T) T {
	if stated <= 0 {
		return own
	}
	return min(stated, bound)
}

// largestHeader returns the bytes of the largest header that a layout may allow.
func (n *Node) largestHeader() int64 {
	bound := min(n.limits.UploadBytes/headerUploadShare, maxHeaderBytes)
	return max(bound, int64(n.limits.HeaderBytes))
}

// callerLimits returns the limits on callers' requests under a layout.
func (n *Node) callerLimits(l sardine.CallerLimits) sardine.CallerLimits {
	return sardine.CallerLimits{
		HeaderBytes:   bounded(l.HeaderBytes, n.largestHeader(), int64(n.limits.HeaderBytes)),
		BodyBytes:     bounded(l.BodyBytes, n.limits.UploadBytes, n.limits.BodyBytes),
		HeaderTimeout: bounded(l.HeaderTimeout, maxHeaderTimeout, n.timing.Header),
		IdleTimeout:   bounded(l.IdleTimeout, maxIdleTimeout, n.timing.Idle),
	}
}

// firstLimits returns the limits of connections before the first layout, or always if there
// are no layouts. As long as a node knows no layout it refuses nothing for its size.
func (n *Node) firstLimits() listen.Limits {
	l := listen.Limits{HeaderBytes: n.limits.HeaderBytes, HeaderTimeout: n.timing.Header, IdleTimeout: n.timing.Idle}
	if n.byLayout {
		l.HeaderBytes = int(n.largestHeader())
	}
	return l
}

// headBudget returns the budget for headers, or nil if their size is not set by layouts.
func (n *Node) headBudget() *upload.Budget {
	if !n.byLayout {
		return nil
	}
	return n.uploads
}

// applyCallerLimits makes the limits of a layout those of new connections.
func (n *Node) applyCallerLimits(stated sardine.CallerLimits) {
	l := n.callerLimits(stated)
	n.public.SetLimits(listen.Limits{HeaderBytes: int(l.HeaderBytes), HeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout})
}

// limits returns the limits that hold for the request. A request that another entry node
// passes on was checked there, maybe by another layout.
func (q *routedRun) limits(table *paths.Table) sardine.CallerLimits {
	l := q.node.callerLimits(table.Layout().Limits)
	if q.passed != nil {
		l.HeaderBytes = q.node.largestHeader() + passHeaderBytes
		l.BodyBytes = max(l.BodyBytes, q.node.limits.UploadBytes)
	}
	return l
}

// checkHeader returns an error if the header of a request is larger than a limit. The
// connection's own limit has some tolerance.
func checkHeader(r *http.Request, limit int64) error {
	if size := headerSize(r); size > limit {
		return codes.New(codes.HeaderTooLarge, "the header has %d bytes, at most %d are taken", size, limit)
	}
	return nil
}

// headerSize returns the bytes of a request's header as it was received, or slightly fewer.
func headerSize(r *http.Request) int64 {
	const lineEnd = len("\r\n")
	size := len(r.Method) + len(" ") + len(r.RequestURI) + len(" ") + len(r.Proto) + lineEnd
	size += len("Host:") + len(r.Host) + lineEnd
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(":") + len(v) + lineEnd
		}
	}
	return int64(size + lineEnd)
}
