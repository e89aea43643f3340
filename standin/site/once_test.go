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

// book sends a booking and returns the answer and its X-Sardine-Ran.
func book(t *testing.T, address, key, seat string) (status int, text, ran string) {
	t.Helper()
	resp := post(t, address, "/services/box-office/bookings", key, []byte(seat))
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return resp.StatusCode, "", "unknown"
	}
	return resp.StatusCode, string(body), resp.Header.Get("X-Sardine-Ran")
}

func (s *Site) runs(seat string) int {
	runs := 0
	for _, p := range s.plains {
		runs += p.Runs(seat)
	}
	return runs
}

// TestBookingsRunAtMostOnce breaks the connection to the service before, in and
// after the run, with and without a key, and resends through other entry nodes.
func TestBookingsRunAtMostOnce(t *testing.T) {
	s := startBare(t)
	target := s.Plains()[0]
	faults := map[string]plain.Fault{"before": plain.FaultBefore, "after": plain.FaultAfter, "half": plain.FaultHalf}
	for name, fault := range faults {
		for _, key := range []string{"", "key-" + name} {
			seat := "seat " + name + key
			target.Fail(fault, 1)
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

// TestOneKeyAtAllNodesAtOnce sends one booking through every entry node at the
// same moment, several times each.
func TestOneKeyAtAllNodesAtOnce(t *testing.T) {
	s := startBare(t)
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

// TestEntryCrashLeavesKeyUnknown kills an entry node while its booking runs. The
// resend through another node must not run it again.
func TestEntryCrashLeavesKeyUnknown(t *testing.T) {
	s := startBare(t)
	s.Plains()[0].Hold(500)
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

// TestSettingsSurviveControlCrashes changes the settings while control nodes
// crash and come back one after the other, losing what they had not synced.
func TestSettingsSurviveControlCrashes(t *testing.T) {
	s := startBare(t)
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
			if d := e.Node().Dump(); d.Ready { // one without a lease serves nothing
				require.GreaterOrEqual(t, d.Versions[0].Version, version)
			}
		}
		require.NoError(t, s.StartControl(i))
		_, err = Await(testLimit, "the control node is back", func() bool {
			return s.Controls()[i].Node().Dump().Leader != ""
		})
		require.NoError(t, err)
		cancel()
	}
}

// Guards against a request that ends one plain target after the other: a booking
// without a key, sent again and again through all entry nodes.
func TestPoisonCostsFewPlainTargets(t *testing.T) {
	const most = 6 // three until it is known, three more until all nodes follow
	s := startSite(t, 1, 1, WithEngines(1, 1), WithPlains(4))
	seat := "seat " + plain.PoisonMarker
	poisoned := 0
	for i := range 40 {
		resp := post(t, s.Entries()[i%3].Node().PublicAddress(), "/services/box-office/bookings", "", []byte(seat))
		require.NotEqual(t, http.StatusOK, resp.StatusCode)
		if resp.StatusCode == codes.PoisonRequest.Status() {
			poisoned++
		}
		time.Sleep(100 * time.Millisecond)
		for _, p := range s.Plains() {
			require.NoError(t, p.Start()) // nothing if it runs
		}
	}
	t.Logf("%d targets ended, %d of 40 requests were refused for it", s.runs(seat), poisoned)
	require.LessOrEqual(t, s.runs(seat), most)
	require.GreaterOrEqual(t, poisoned, 20)
}
