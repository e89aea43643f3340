package entry

import (
	"encoding/json"

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

// messageJSON is the part of a chat message that tells where a conversation
// begins.
type messageJSON struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// conversationOf returns a hash of the messages up to the caller's first one, 0
// if there is none, and whether the model has answered in between. All requests
// of one conversation have the same hash.
func conversationOf(messages json.RawMessage) (hash uint64, later bool) {
	var list []messageJSON
	if json.Unmarshal(messages, &list) != nil {
		return 0, false // the engine refuses what it can't read
	}
	h := xxhash.New()
	for _, m := range list {
		later = later || m.Role == "assistant"
		if hash != 0 {
			continue
		}
		_, _ = h.WriteString(m.Role) // a hash takes every write
		_, _ = h.Write(m.Content)
		if m.Role == "user" {
			hash = h.Sum64()
		}
	}
	return hash, later
}

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
