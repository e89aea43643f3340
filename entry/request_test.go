package entry

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/reply"
)

func TestConversationHashDependsOnFirstUserMessage(t *testing.T) {
	first := json.RawMessage(`[{"role":"system","content":"s"},{"role":"user","content":"one"}]`)
	later := json.RawMessage(`[{"role":"system","content":"s"},{"role":"user","content":"one"},{"role":"assistant","content":"a"},{"role":"user","content":"two"}]`)
	other := json.RawMessage(`[{"role":"system","content":"s"},{"role":"user","content":"two"}]`)
	hash, answered := conversationOf(first)
	require.False(t, answered)
	again, answered := conversationOf(later)
	require.True(t, answered)
	require.Equal(t, hash, again)
	different, _ := conversationOf(other)
	require.NotEqual(t, hash, different)
	none, _ := conversationOf(json.RawMessage(`"text"`))
	require.Zero(t, none)
}

func TestLongerPromptSharesPrefixHashes(t *testing.T) {
	short := prefixHashes("m", []byte(strings.Repeat("a", 2*prefixBlockBytes)))
	long := prefixHashes("m", []byte(strings.Repeat("a", 3*prefixBlockBytes)))
	require.Len(t, short, 2)
	require.Equal(t, short, long[:2])
	require.NotEqual(t, short[0], prefixHashes("n", []byte(strings.Repeat("a", 2*prefixBlockBytes)))[0])
	require.Len(t, prefixHashes("m", []byte("short")), 1)
}

func FuzzReadModel(f *testing.F) {
	f.Add(`{"model":"m","messages":[{"role":"user","content":"x"}],"stream":true,"seed":1}`, "live", "100")
	f.Add(`{"model":"m","prompt":"x","max_tokens":-5,"temperature":0}`, "", "")
	f.Add(`[`, "urgent", "-1")
	f.Fuzz(func(t *testing.T, body, priority, deadline string) {
		r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(body))
		r.Header.Set("Content-Type", "application/json")
		r.Header.Set("X-Sardine-Workspace", "w")
		r.Header.Set("X-Sardine-Priority", priority)
		r.Header.Set("X-Sardine-Deadline-Ms", deadline)
		q, err := readModel(reply.NewCallerPort(), r, func() ([]byte, error) { return []byte(body), nil })
		if err != nil {
			if code := codes.Of(err); code != codes.BadRequest && code != codes.TooLarge {
				t.Fatalf("unexpected error: %v", err)
			}
			return
		}
		if q.service == "" || q.maxTokens < 0 || len(q.prefixes) == 0 || len(q.fingerprint) == 0 {
			t.Fatalf("incomplete request from %q", body)
		}
	})
}
