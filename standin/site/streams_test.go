package site

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/standin/engine"
)

// TestStreamFaultsNeverYieldWrongAnswers injects each fault that an engine can
// cause in a stream and checks that the caller receives the complete, correct
// answer, or an error that can't be mistaken for the end of the answer.
func TestStreamFaultsNeverYieldWrongAnswers(t *testing.T) {
	s := startSite(t, 1, 2, WithEngines(1, 2), WithPlainServices(0))
	entry := s.Entries()[0].Node().PublicAddress()
	faults := s.rankZero(t, 0).Faults()
	body := chatBody("the aria ends", 12, false)

	t.Run("cut after each token and resumed at the same engine", func(t *testing.T) {
		for tokens := range 12 {
			faults.CutStreams(tokens, 1)
			c := sendChat(t, entry, body)
			require.NoError(t, c.err, "%+v", c)
			require.True(t, c.done, "cut after %d tokens: %+v", tokens, c)
			require.Equal(t, expectedAnswer(t, body), c.text, "cut after %d tokens", tokens)
		}
	})
	t.Run("with another request's id", func(t *testing.T) {
		faults.AnswerWrongID(1)
		c := sendChat(t, entry, body)
		if c.done {
			require.Equal(t, expectedAnswer(t, body), c.text)
			return
		}
		require.Empty(t, c.text)
		require.Equal(t, "answer_invalid", c.problem.Name)
	})
	t.Run("sent twice", func(t *testing.T) {
		faults.AnswerTwice(1)
		c := sendChat(t, entry, body)
		require.True(t, c.done)
		require.Equal(t, expectedAnswer(t, body), c.text)
	})
	t.Run("late", func(t *testing.T) {
		faults.AnswerLate(200*sardine.Millis(1), 1)
		c := sendChat(t, entry, body)
		require.True(t, c.done)
		require.Equal(t, expectedAnswer(t, body), c.text)
	})
}

// TestMemberLossMidStream crashes a member of a group while answers are
// streamed. A request with a seed is resumed at another group; any other ends
// with an error event and a broken connection.
func TestMemberLossMidStream(t *testing.T) {
	s := startSite(t, 2, 2, WithEngines(2, 2), WithPlainServices(0))
	entry := s.Entries()[1].Node().PublicAddress()
	seeded := chatBody("an exact line", 600, true)
	unseeded := chatBody("a loose line", 600, false)
	results := make(chan [2]chat, 1)
	go func() {
		first := make(chan chat, 1)
		go func() { first <- sendChat(t, entry, seeded) }()
		second := sendChat(t, entry, unseeded)
		results <- [2]chat{<-first, second}
	}()
	time.Sleep(300 * time.Millisecond)
	for i := range s.Serving() {
		if finished, _ := s.rankZero(t, i).Counts(); finished == 0 {
			s.rankZero(t, i).Crash()
			break
		}
	}
	got := <-results
	require.True(t, got[0].done, "%+v", got[0].problem)
	require.Equal(t, expectedAnswer(t, seeded), got[0].text)
	if got[1].done {
		require.Equal(t, expectedAnswer(t, unseeded), got[1].text)
		return
	}
	require.Error(t, got[1].err, "the answer must not end cleanly")
	require.Equal(t, "yes", got[1].problem.Ran)
}

// TestPoisonRequestCrashesAtMostTwoGroups sends a request that crashes its
// engine repeatedly through all entry nodes. It may crash at most two groups.
func TestPoisonRequestCrashesAtMostTwoGroups(t *testing.T) {
	s := startSite(t, 3, 1, WithEngines(3, 1), WithPlainServices(0))
	body := chatBody(engine.PoisonMarker, 5, false)
	poisoned := 0
	for i := range 6 {
		c := sendChat(t, s.Entries()[i%3].Node().PublicAddress(), body)
		require.NotEqual(t, http.StatusOK, c.status)
		if c.problem.Name == "poison_request" {
			poisoned++
		}
	}
	require.Positive(t, poisoned)
	alive := 0
	for _, e := range s.Engines() {
		if e.Running() {
			alive++
		}
	}
	require.GreaterOrEqual(t, alive, 1, "a third group must not run it")
	good := chatBody("a good line", 5, false)
	c := sendChat(t, s.Entries()[0].Node().PublicAddress(), good)
	require.Equal(t, expectedAnswer(t, good), c.text)
}

// TestPoisonPrefixCrashesFewGroups guards against chats that differ but begin with the
// same text, which crashes the engines that run it: each of them crashed two groups.
func TestPoisonPrefixCrashesFewGroups(t *testing.T) {
	const maxCrashes = 6 // three until the prefix is refused, three more of requests sent at the same moment
	s := startSite(t, 3, 1, WithEngines(8, 1), WithPlainServices(0))
	prefix := engine.PoisonMarker + strings.Repeat(" the rules of this house", 20)
	poisoned, crashed := 0, 0
	for i := range 24 {
		c := sendChat(t, s.Entries()[i%3].Node().PublicAddress(), chatBody(fmt.Sprintf("%s, question %d", prefix, i), 5, false))
		require.NotEqual(t, http.StatusOK, c.status)
		if c.problem.Name == "poison_request" {
			poisoned++
		}
		for _, e := range s.Engines() {
			if !e.Running() {
				crashed++
				require.NoError(t, e.Start())
			}
		}
		time.Sleep(300 * time.Millisecond)
	}
	t.Logf("%d engines crashed, %d of 24 requests were refused", crashed, poisoned)
	require.LessOrEqual(t, crashed, maxCrashes)
	require.GreaterOrEqual(t, poisoned, 12)
	_, err := s.AwaitServing(testLimit, 1, 0)
	require.NoError(t, err)
	good := chatBody("a good line", 5, false)
	c := sendChat(t, s.Entries()[0].Node().PublicAddress(), good)
	require.Equal(t, expectedAnswer(t, good), c.text)
}
