package entry

import (
	"github.com/cespare/xxhash/v2"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/route"
)

// Sizes of the hashed prompt prefixes. Engines cache prefixes in blocks, so
// prefixes that end inside a block are of no use.
const (
	prefixBlockBytes = route.BlockTokens * bytesPerWord
	maxPrefixBlocks  = 32
)

// prefixHashes returns the hash of each whole-block prefix of the prompt, the
// shortest first. A prompt shorter than a block has one hash of its own.
func prefixHashes(service sardine.ServiceName, prompt []byte) []uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(string(service)) // a hash takes every write
	if len(prompt) < prefixBlockBytes {
		_, _ = h.Write(prompt)
		return []uint64{h.Sum64()}
	}
	blocks := min(len(prompt)/prefixBlockBytes, maxPrefixBlocks)
	hashes := make([]uint64, 0, blocks)
	for i := range blocks {
		_, _ = h.Write(prompt[i*prefixBlockBytes : (i+1)*prefixBlockBytes])
		hashes = append(hashes, h.Sum64())
	}
	return hashes
}
