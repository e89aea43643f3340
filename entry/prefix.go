package entry

import (
	"bytes"
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/route"
)

// Sizes of the hashed prompt prefixes. Engines cache prefixes in blocks, so a
// prefix that ends inside a block would never match.
const (
	prefixBlockBytes = route.BlockTokens * bytesPerToken
	maxPrefixBlocks  = 32
)

// messageJSON is the part of a chat message that identifies a conversation.
type messageJSON struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// conversationOf returns a hash of the messages up to and including the first
// one by the user, 0 if there is none, and whether the messages contain an
// answer of the model. All requests of one conversation have the same hash.
func conversationOf(messages json.RawMessage) (hash uint64, later bool) {
	list := json.NewDecoder(bytes.NewReader(messages)) // decoded at once, small messages take many times their size
	if start, err := list.Token(); err != nil || start != json.Delim('[') {
		return 0, false
	}
	h := xxhash.New()
	for list.More() {
		var m messageJSON
		if list.Decode(&m) != nil {
			return 0, false // the engine rejects messages that it can't parse
		}
		later = later || m.Role == "assistant"
		if hash != 0 {
			continue
		}
		_, _ = h.WriteString(m.Role) // a hash never returns an error
		_, _ = h.Write(m.Content)
		if m.Role == "user" {
			hash = h.Sum64()
		}
	}
	return hash, later
}

// prefixHashes returns the hash of each prefix that consists of whole blocks,
// the shortest first. A prompt shorter than a block has a single hash.
func prefixHashes(service sardine.ServiceName, prompt []byte) []uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(string(service)) // a hash never returns an error
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
