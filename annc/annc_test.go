package annc

import (
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
)

func sample() sardine.Announcement {
	return sardine.Announcement{
		VM: "vm-1", Incarnation: 3, Kind: sardine.KindEngine, Address: "127.0.0.1:9000",
		DataCentre: "osu", Domain: "osu-rack-1", Accelerators: 4,
		Loadable: []sardine.ModelName{"surtitle"}, ChecksEpoch: true, Leaving: true,
		CurrentOrder: sardine.CurrentOrder{Group: "g1", Epoch: 7, Rank: 2, Model: "surtitle", Version: "1", State: sardine.MemberReady},
		Load:         sardine.Load{Running: 2, Queued: 1, TokensPerSecond: 33.5},
		Sequence:     12,
	}
}

func TestRoundTrip(t *testing.T) {
	got, err := Decode(Encode(sample()))
	require.NoError(t, err)
	require.Equal(t, sample(), got)
	a, err := DecodeAnswer(EncodeAnswer(NewAnswer("127.0.0.1:80", 1000)))
	require.NoError(t, err)
	require.Equal(t, NewAnswer("127.0.0.1:80", 1000), a)
	l, err := ParseLoad(FormatLoad(sample().Load))
	require.NoError(t, err)
	require.Equal(t, sample().Load, l)
}

// Each case replaces one part of a valid announcement; the output is the error.
func TestInvalidAnnouncementsAreRejected(t *testing.T) {
	datadriven.RunTest(t, "testdata/refusals", func(t *testing.T, d *datadriven.TestData) string {
		old, replacement, _ := strings.Cut(d.Input, " => ")
		valid := string(Encode(sample()))
		require.Contains(t, valid, old)
		_, err := Decode([]byte(strings.Replace(valid, old, replacement, 1)))
		if err == nil {
			return "accepted\n"
		}
		return err.Error() + "\n"
	})
}

func FuzzDecode(f *testing.F) {
	f.Add(Encode(sample()))
	f.Add([]byte(`{"vm":"a"}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		a, err := Decode(text)
		if err != nil {
			return
		}
		again, err := Decode(Encode(a))
		if err != nil {
			t.Fatalf("re-encoded announcement is rejected: %v", err)
		}
		require.Equal(t, a, again)
	})
}

func FuzzParseLoad(f *testing.F) {
	f.Add("running=1;queued=2;tps=3.5")
	f.Fuzz(func(t *testing.T, text string) {
		l, err := ParseLoad(text)
		if err != nil {
			return
		}
		_, err = ParseLoad(FormatLoad(l))
		require.NoError(t, err)
	})
}
