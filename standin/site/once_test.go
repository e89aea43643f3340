package site

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/standin/plain"
)

// book sends a booking and returns the answer and its X-Sardine-Ran header,
// which is unknown if the answer broke off.
func book(t *testing.T, address, key, seat string) (status int, text, ran string) {
	t.Helper()
	resp := post(t, address, "/services/box-office/bookings", key, []byte(seat))
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return resp.StatusCode, "", "unknown"
	}
	return resp.StatusCode, string(body), resp.Header.Get("X-Sardine-Ran")
}

// runs returns how often the plain services ran the booking of a seat.
func (s *Site) runs(seat string) int {
	runs := 0
	for _, p := range s.plains {
		runs += p.Runs(seat)
	}
	return runs
}

// TestBookingsRunAtMostOnce breaks the connection to the service before the
// run, after it and during the answer, with and without an idempotency key.
// Bookings with a key are resent through the other entry nodes.
func TestBookingsRunAtMostOnce(t *testing.T) {
	s := startWithoutEngines(t)
	target := s.PlainServices()[0]
	faults := map[string]plain.Fault{"before": plain.FaultBeforeRun, "after": plain.FaultAfterRun, "half": plain.FaultHalfAnswer}
	for name, fault := range faults {
		for _, key := range []string{"", "key-" + name} {
			seat := "seat " + name + key
			target.InjectFault(fault, 1)
			for i := range 3 {
				if key == "" && i > 0 {
					break // a resend without a key is a new booking
				}
				status, text, ran := book(t, s.Entries()[i].Node().PublicAddress(), key, seat)
				if status == http.StatusOK {
					require.Equal(t, plain.Expect(http.MethodPost, "/bookings", seat), text)
					continue
				}
				require.NotEqual(t, "no", ran, "%s: the service may have run it", seat)
			}
			require.LessOrEqual(t, s.runs(seat), 1, seat)
		}
	}
}

// TestAnswersThatEndWithTheirConnection guards against answers without a length that are
// refused, and against truncated ones that look whole.
func TestAnswersThatEndWithTheirConnection(t *testing.T) {
	s := startWithoutEngines(t)
	target, address := s.PlainServices()[0], s.Entries()[0].Node().PublicAddress()
	for _, key := range []string{"", "key"} {
		seat := "whole " + key
		target.InjectFault(plain.FaultNoLength, 1)
		status, text, _ := book(t, address, key, seat)
		require.Equal(t, http.StatusOK, status, text)
		require.Equal(t, plain.Expect(http.MethodPost, "/bookings", seat), text)
	}
	target.InjectFault(plain.FaultNoLengthExit, 1)
	status, text, ran := book(t, address, "", "half")
	require.NotEqual(t, http.StatusOK, status, text)
	require.NotEqual(t, "no", ran)
}

// TestConcurrentRequestsWithOneKey sends one booking with one key through all
// entry nodes concurrently, several times each. It must run once.
func TestConcurrentRequestsWithOneKey(t *testing.T) {
	s := startWithoutEngines(t)
	const each = 5
	var group sync.WaitGroup
	answers := make(chan string, each*len(s.Entries()))
	for _, e := range s.Entries() {
		for range each {
			group.Go(func() {
				status, text, _ := book(t, e.Node().PublicAddress(), "one", "seat one")
				answers <- fmt.Sprint(status, " ", text)
			})
		}
	}
	group.Wait()
	close(answers)
	for a := range answers {
		require.Equal(t, "200 "+plain.Expect(http.MethodPost, "/bookings", "seat one"), a)
	}
	require.Equal(t, 1, s.runs("seat one"))
}

// TestEntryCrashLeavesOutcomeUnknown crashes an entry node while its booking
// runs. A resend through another node must report an unknown outcome and must
// not run the booking again.
func TestEntryCrashLeavesOutcomeUnknown(t *testing.T) {
	s := startWithoutEngines(t)
	s.PlainServices()[0].SetRunTime(500)
	crashed := s.Entries()[0].Node().PublicAddress()
	go func() {
		req, err := http.NewRequest(http.MethodPost, "http://"+crashed+"/services/box-office/bookings", http.NoBody)
		if err != nil {
			return
		}
		req.Header.Set("X-Sardine-Workspace", string(Workspace))
		req.Header.Set("Idempotency-Key", "crash")
		if resp, err := http.DefaultClient.Do(req); err == nil {
			resp.Body.Close()
		}
	}()
	_, err := Await(testLimit, "the booking runs", func() bool { return s.runs("") > 0 })
	require.NoError(t, err)
	require.NoError(t, s.StopEntry(0))
	require.NoError(t, s.StartEntry(0))
	_, err = s.AwaitServing(testLimit, 0, 1)
	require.NoError(t, err)
	status, _, ran := book(t, s.Entries()[1].Node().PublicAddress(), "crash", "")
	require.Equal(t, http.StatusBadGateway, status)
	require.Equal(t, "unknown", ran)
	require.Equal(t, 1, s.runs(""))
}

// TestSettingsSurviveControlCrashes changes the settings while the control
// nodes crash and restart one after the other, each losing its unsynced data.
// No accepted change may be lost, and resent changes must keep their version.
func TestSettingsSurviveControlCrashes(t *testing.T) {
	s := startWithoutEngines(t)
	version := uint64(1)
	for i := range 3 {
		require.NoError(t, s.StopControl(i))
		ctx, cancel := context.WithTimeout(context.Background(), testLimit)
		id := fmt.Sprintf("change-%d", i)
		document := fmt.Sprintf("downtime_weight = %d.0\nstranded_weight = 1.0\n", i+2)
		path := "/teams/" + string(Team) + "/objective"
		answer, err := s.Set(ctx, version, id, path, document)
		require.NoError(t, err)
		require.Equal(t, version+1, answer.Version)
		again, err := s.Set(ctx, version, id, path, document)
		require.NoError(t, err)
		require.True(t, again.Repeat)
		require.Equal(t, answer.Version, again.Version)
		version = answer.Version
		for _, e := range s.Entries() {
			if d := e.Node().Dump(); d.Ready { // a node without a lease does not serve
				require.GreaterOrEqual(t, d.Versions[0].Version, version)
			}
		}
		require.NoError(t, s.StartControl(i))
		_, err = Await(testLimit, "the restarted control node has a leader", func() bool {
			return s.Controls()[i].Node().Dump().Leader != ""
		})
		require.NoError(t, err)
		cancel()
	}
}

// TestPoisonRequestCrashesFewPlainTargets guards against a request that
// crashes one plain target after the other: a booking without a key, sent
// again and again through all entry nodes.
func TestPoisonRequestCrashesFewPlainTargets(t *testing.T) {
	const maxCrashes = 6 // three until the request is rejected as poison, three more until all nodes have received this
	s := startSite(t, 1, 1, WithEngines(1, 1), WithPlainServices(4))
	seat := "seat " + plain.PoisonMarker
	poisoned := 0
	for i := range 40 {
		resp := post(t, s.Entries()[i%3].Node().PublicAddress(), "/services/box-office/bookings", "", []byte(seat))
		require.NotEqual(t, http.StatusOK, resp.StatusCode)
		if resp.StatusCode == codes.PoisonRequest.Status() {
			poisoned++
		}
		time.Sleep(100 * time.Millisecond)
		for _, p := range s.PlainServices() {
			require.NoError(t, p.Start()) // no effect if it is running
		}
	}
	t.Logf("%d targets crashed, %d of 40 requests were rejected as poison", s.runs(seat), poisoned)
	require.LessOrEqual(t, s.runs(seat), maxCrashes)
	require.GreaterOrEqual(t, poisoned, 20)
}
