package state

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"sardineswitch.dev/sardine/codes"
)

// TestLayoutIsCompressed checks the compression of layouts: the whole document is sent
// to every entry node on each change, over links of low bandwidth.
func TestLayoutIsCompressed(t *testing.T) {
	document := []byte(strings.Repeat(`{"host":"h.example","pathPrefix":"/a/","service":"s"},`, 1500))
	put, err := NewPutLayout(7, document)
	require.NoError(t, err)
	require.Less(t, len(put.Packed), len(document)/10)
	whole, err := put.Document()
	require.NoError(t, err)
	require.Equal(t, document, whole)
	put.Packed = put.Packed[:len(put.Packed)/2]
	_, err = put.Document()
	require.Equal(t, codes.BadSettings, codes.Of(err))
}

func FuzzLayoutDocument(f *testing.F) {
	f.Add([]byte("{}"), 0)
	f.Add([]byte(strings.Repeat("route", 100)), 3)
	f.Fuzz(func(t *testing.T, document []byte, flip int) {
		put, err := NewPutLayout(1, document)
		require.NoError(t, err)
		whole, err := put.Document()
		require.NoError(t, err)
		require.Equal(t, string(document), string(whole))
		if n := len(put.Packed); n > 0 {
			put.Packed[((flip%n)+n)%n] ^= 0x55
			_, _ = put.Document() // damaged bytes may still decompress without an error
		}
	})
}
