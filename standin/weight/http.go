package weight

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"sardineswitch.dev/sardine/codes"

	sardine "sardineswitch.dev/sardine"
)

// Path is the URL path of the weights: GET Path?model=M&version=V.
const Path = "/weights"

// ServeHTTP sends one member's share of a model's weights at the shared rate.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != Path || r.URL.Query().Get("model") == "" {
		http.Error(w, "expected GET "+Path+"?model=M&version=V", http.StatusNotFound)
		return
	}
	m := sardine.ModelName(r.URL.Query().Get("model"))
	w.Header().Set("Content-Length", strconv.Itoa(s.Size(m)))
	chunk := make([]byte, chunkBytes)
	_ = s.deliver(r.Context(), m, func(n int) error {
		_, err := w.Write(chunk[:n])
		return err
	})
}

// RemoteStore loads weights from a store in another process.
type RemoteStore struct {
	address string
	client  *http.Client
}

// NewRemote returns a client of the store at address, host:port.
func NewRemote(address string) *RemoteStore {
	return &RemoteStore{address: address, client: &http.Client{Transport: &http.Transport{}}}
}

// Load reads one member's share of a model's weights and discards them.
func (r *RemoteStore) Load(ctx context.Context, m sardine.ModelName, version string) error {
	query := url.Values{"model": {string(m)}, "version": {version}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.address+Path+"?"+query.Encode(), nil)
	if err != nil {
		return err
	}
	answer, err := r.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return codes.New(codes.TargetFailed, "weight store %s answered %s", r.address, answer.Status)
	}
	_, err = io.Copy(io.Discard, answer.Body)
	return err
}
