package engine

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/annc"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/order"
	"sardineswitch.dev/sardine/reply"
	"sardineswitch.dev/sardine/standin/weight"
)

const body = `{"model":"surtitle","max_tokens":20,"stream":%v,"messages":[{"role":"user","content":"%s"}]}`

// startGroup starts size engines and makes them one group with epoch 5.
func startGroup(t *testing.T, size int, options ...Option) []*Engine {
	fabric := NewFabric()
	var engines []*Engine
	for i := range size {
		e := New(append([]Option{
			WithVM(sardine.VMID(fmt.Sprint("vm-", i))), WithFabric(fabric), WithLoader(weight.New(weight.WithSize(1000))),
		}, options...)...)
		require.NoError(t, e.Start())
		t.Cleanup(e.Stop)
		engines = append(engines, e)
		require.NoError(t, sendOrder(e, sardine.Order{Group: "g", Epoch: 5, Rank: i, Size: size, Model: "surtitle", Version: "1"}))
	}
	for _, e := range engines {
		require.Eventually(t, func() bool { return e.CurrentOrder().State == sardine.MemberReady }, 5*time.Second, time.Millisecond)
	}
	return engines
}

func sendOrder(e *Engine, o sardine.Order) error {
	c := order.NewClient()
	defer c.Close()
	return c.Send(context.Background(), e.Address(), o)
}

func post(ctx context.Context, e *Engine, prompt string, stream bool, headers ...string) (*http.Response, error) {
	text := fmt.Sprintf(body, stream, prompt)
	r, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.Address()+ChatPath, strings.NewReader(text))
	r.Header.Set(reply.HeaderRequest, "r1")
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	return (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
}

func expectedText(t *testing.T, prompt string) string {
	r, err := ParseRequest(ChatPath, fmt.Appendf(nil, body, true, prompt))
	require.NoError(t, err)
	return Expect(r)
}

func TestAnswersWholeAndStreamed(t *testing.T) {
	e := startGroup(t, 2)[0]
	answer, err := post(context.Background(), e, "Twi", false, order.HeaderEpoch, "5", order.HeaderGroup, "g")
	require.NoError(t, err)
	got, _ := io.ReadAll(answer.Body)
	require.Contains(t, string(got), expectedText(t, "Twi"))
	require.Equal(t, "r1", answer.Header.Get(reply.HeaderRequest))
	_, err = annc.ParseLoad(answer.Header.Get(annc.HeaderLoad))
	require.NoError(t, err)

	answer, err = post(context.Background(), e, "Twi", true, order.HeaderResume, "15")
	require.NoError(t, err)
	got, _ = io.ReadAll(answer.Body)
	require.Equal(t, 6, bytes.Count(got, []byte("id: ")))
	require.Contains(t, string(got), "id: 15\n")
	require.True(t, strings.HasSuffix(string(got), "data: [DONE]\n\n"))
}

func TestRefusesWithoutRunning(t *testing.T) {
	engines := startGroup(t, 2)
	for name, c := range map[string]struct {
		engine int
		header []string
		status int
	}{
		"old epoch":   {0, []string{order.HeaderEpoch, "4"}, 409},
		"other group": {0, []string{order.HeaderGroup, "h"}, 409},
		"rank 1":      {1, nil, 503},
	} {
		answer, err := post(context.Background(), engines[c.engine], "Ga", true, c.header...)
		require.NoError(t, err)
		require.Equal(t, c.status, answer.StatusCode, name)
		require.Equal(t, "no", answer.Header.Get(reply.HeaderRan), name)
	}
	require.True(t, codes.Is(sendOrder(engines[0], sardine.Order{Group: "h", Epoch: 4, Size: 1, Model: "surtitle"}), codes.EpochRefused))
	engines[0].Leave()
	answer, err := post(context.Background(), engines[0], "Ga", true)
	require.NoError(t, err)
	require.Equal(t, 503, answer.StatusCode)
	require.Zero(t, engines[0].Starts("r1"))
}

func TestIgnoresEpochsWithoutChecks(t *testing.T) {
	e := startGroup(t, 1, WithEpochChecks(false))[0]
	answer, err := post(context.Background(), e, "Ga", false, order.HeaderEpoch, "4", order.HeaderGroup, "h")
	require.NoError(t, err)
	require.Equal(t, 200, answer.StatusCode)
	require.NoError(t, sendOrder(e, sardine.Order{Group: "h", Epoch: 4, Size: 1, Model: "surtitle"}))
	require.Equal(t, sardine.GroupID("h"), e.CurrentOrder().Group)
}

// TestMissingMemberStopsGeneration pauses rank 1 in the middle of a stream:
// rank 0 must not finish the answer before rank 1 resumes.
func TestMissingMemberStopsGeneration(t *testing.T) {
	engines := startGroup(t, 2)
	engines[0].Faults().SetSlowdown(5)
	answer, err := post(context.Background(), engines[0], "Ewe", true)
	require.NoError(t, err)
	lines := bufio.NewReader(answer.Body)
	_, _ = lines.ReadString('\n')
	engines[1].Pause()
	require.False(t, engines[0].settings.fabric.Complete("g", 5, 2))
	finished, _ := engines[0].Counts()
	require.Zero(t, finished)
	engines[1].Resume()
	_, err = io.ReadAll(lines)
	require.NoError(t, err)
	finished, _ = engines[0].Counts()
	require.Equal(t, 1, finished)
}

func TestFaults(t *testing.T) {
	e := startGroup(t, 1)[0]
	e.Faults().CutStreams(3, 1)
	answer, err := post(context.Background(), e, "cut", true)
	require.NoError(t, err)
	got, err := io.ReadAll(answer.Body)
	require.Error(t, err)
	require.Equal(t, 3, bytes.Count(got, []byte("id: ")))

	e.Faults().AnswerWrongID(1)
	answer, err = post(context.Background(), e, "wrong", false)
	require.NoError(t, err)
	require.NotEqual(t, "r1", answer.Header.Get(reply.HeaderRequest))

	e.Faults().AnswerTwice(1)
	answer, err = post(context.Background(), e, "twice", true)
	require.NoError(t, err)
	got, _ = io.ReadAll(answer.Body)
	require.Equal(t, 2, bytes.Count(got, []byte("id: 7\n")))

	ctx, cancel := context.WithCancel(context.Background())
	_, err = post(ctx, e, "cancel", true)
	require.NoError(t, err)
	cancel()
	require.Eventually(t, func() bool { _, aborted := e.Counts(); return aborted == 2 }, 5*time.Second, time.Millisecond)

	_, err = post(context.Background(), e, "crash "+PoisonMarker, true)
	require.Error(t, err)
	require.Eventually(t, func() bool { return !e.Running() }, 5*time.Second, time.Millisecond)
}

// TestAnnounces checks that the engine announces itself at the home named in
// the answer to its first announcement, after each start and when it leaves,
// and that it leaks no goroutines.
func TestAnnounces(t *testing.T) {
	before := runtime.NumGoroutine()
	var mu sync.Mutex
	var received []sardine.Announcement
	home := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text, _ := io.ReadAll(r.Body)
		a, err := annc.Decode(text)
		require.NoError(t, err)
		mu.Lock()
		received = append(received, a)
		mu.Unlock()
		_, _ = w.Write(annc.EncodeAnswer(annc.NewAnswer("", 50)))
	}))
	balancer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(annc.EncodeAnswer(annc.NewAnswer(home.Listener.Addr().String(), 50)))
	}))
	e := New(WithBalancer(balancer.Listener.Addr().String()))
	require.NoError(t, e.Start())
	newest := func() sardine.Announcement {
		mu.Lock()
		defer mu.Unlock()
		if len(received) == 0 {
			return sardine.Announcement{}
		}
		return received[len(received)-1]
	}
	require.Eventually(t, func() bool { return newest().Incarnation == 1 }, 5*time.Second, time.Millisecond)
	e.Leave()
	require.Eventually(t, func() bool { return newest().Leaving }, 5*time.Second, time.Millisecond)
	e.Stop()
	require.NoError(t, e.Start())
	require.Eventually(t, func() bool { return newest().Incarnation == 2 }, 5*time.Second, time.Millisecond)
	e.Stop()
	home.Close()
	balancer.Close()
	for range 500 { // not require.Eventually, which starts goroutines of its own
		if runtime.NumGoroutine() <= before {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%d goroutines before, %d after", before, runtime.NumGoroutine())
}
