package ctrl

import (
	"net/http"
	"time"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/upload"
)

const (
	// bodyTimeout is how long the body of an operator's or a target's request may take.
	bodyTimeout = 10 * sardine.Second
	// bodyWait is how long such a request may wait for the memory of its body. Callers
	// try another node after a second.
	bodyWait = 800 * sardine.Millis(1)
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
