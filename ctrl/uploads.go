package ctrl

import (
	"bytes"
	"io"
	"net/http"
	"time"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/team"
	"sardineswitch.dev/sardine/upload"
)

const (
	// bodyTimeout is how long the body of an operator's or a target's request may take.
	bodyTimeout = 10 * sardine.Second
	// bodyWait is how long such a request may wait for the memory of its body. Callers
	// try another node after a second.
	bodyWait = 800 * sardine.Millis(1)
	// maxOperatorBytes bounds the body of a request to the operators' server.
	maxOperatorBytes = 4 * team.MaxDocumentBytes
	// maxForwardedBytes bounds a layout that another control node forwards.
	maxForwardedBytes = 32 << 20
	// defaultUploadBytes bounds the bodies of all requests together.
	defaultUploadBytes = 64 << 20
)

// bodyReader reads request bodies within the node's budget. It implements
// sardine.BodyReader.
type bodyReader struct {
	budget *upload.Budget
}

// ReadBody reads a body within bodyTimeout.
func (b bodyReader) ReadBody(w http.ResponseWriter, r *http.Request, limit int64) (body []byte, release func(), err error) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout.Duration())) // httptest recorders have no deadlines
	read, err := b.budget.Read(w, r, limit, bodyWait)
	if err != nil {
		w.Header().Set("Connection", "close") // the rest of the body is not read
		return nil, nil, err
	}
	_ = control.SetReadDeadline(time.Time{})
	return read.Bytes(), read.Release, nil
}

// limitBodies reads each request's body, up to limit bytes and within the node's budget,
// before next sees it.
func (n *Node) limitBodies(limit int64, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body == nil || r.Body == http.NoBody {
			next.ServeHTTP(w, r)
			return
		}
		body, release, err := bodyReader{n.uploads}.ReadBody(w, r, limit)
		if err != nil {
			writeError(w, err)
			return
		}
		defer release()
		held := r.WithContext(r.Context())
		held.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, held)
	})
}

// shortLayoutBytes is the size up to which a layout may be decoded beside others.
const shortLayoutBytes = 64 << 10

// decodeLayout decodes a document. Longer ones are decoded one at a time, because they take
// a multiple of their size meanwhile.
func (n *Node) decodeLayout(document []byte) (sardine.Layout, error) {
	if len(document) > shortLayoutBytes {
		n.parsing.Lock()
		defer n.parsing.Unlock()
	}
	return n.port.ParseLayout(document)
}
