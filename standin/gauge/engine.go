package gauge

import (
	"container/list"

	sardine "sardineswitch.dev/sardine"
)

// Costs of the engine model. A group prefills at most 20,000 tokens a second and
// generates a token for each running request every 20 ms or more.
const (
	modelBase       = 15.0  // milliseconds of a request without prefill
	modelPerToken   = 0.05  // milliseconds of prefill per uncached token
	modelPerRunning = 0.02  // relative slowdown of prefill per running request
	modelDecode     = 20.0  // milliseconds between tokens of a lone request
	modelDecodeMore = 0.12  // additional milliseconds per running request
	modelCache      = 800   // blocks of prefix cache
	modelBlock      = 64    // tokens in a block
	modelBatch      = 96    // maximum number of running requests
	stragglerFactor = 4.0   // slowdown of a straggler
	stragglerShare  = 0.02  // of the engines
	generatedTokens = 230.0 // mean per request
)

// prompt describes a request to the engine model.
type prompt struct {
	family       int  // number of the shared prefix, from 1
	familyBlocks int  // of the shared prefix
	conversation int  // number of the conversation, from 1
	blocks       int  // of the whole prompt
	later        bool // a follow-up request of a conversation
	region       int  // of the caller
}

func (p prompt) tokens() int {
	return p.blocks * modelBlock
}

// cacheItem is a cached shared prefix or conversation.
type cacheItem struct {
	key    int // family, or the negated number of a conversation
	blocks int // own blocks
	length int // blocks from the prompt's start
}

// prefixCache is a cache of a limited number of blocks that evicts the least
// recently used items.
type prefixCache struct {
	limit int
	used  int
	items map[int]*list.Element
	order *list.List // newest first
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, items: make(map[int]*list.Element), order: list.New()}
}

// length returns how many leading blocks of the prompt are cached.
func (c *prefixCache) length(p prompt) int {
	if c.items[p.family] == nil {
		return 0
	}
	if e := c.items[-p.conversation]; e != nil {
		return min(e.Value.(*cacheItem).length, p.blocks)
	}
	return p.familyBlocks
}

// put stores an item as the newest and returns the keys evicted for it.
func (c *prefixCache) put(key, blocks, length int) []int {
	if e := c.items[key]; e != nil {
		item := e.Value.(*cacheItem)
		c.used += blocks - item.blocks
		item.blocks, item.length = blocks, length
		c.order.MoveToFront(e)
	} else {
		c.items[key] = c.order.PushFront(&cacheItem{key: key, blocks: blocks, length: length})
		c.used += blocks
	}
	var evicted []int
	for c.used > c.limit {
		e := c.order.Back()
		item := e.Value.(*cacheItem)
		c.order.Remove(e)
		delete(c.items, item.key)
		c.used -= item.blocks
		evicted = append(evicted, item.key)
	}
	return evicted
}

// engine models one group with a prefix cache: prefills run in the order of
// arrival, beside continuous batching.
type engine struct {
	centre  int
	slow    float64 // factor on all times
	freeAt  float64 // end of the prefills accepted so far, milliseconds
	running int
	queued  int
	busy    float64 // milliseconds of prefill so far
	cache   *prefixCache
}

func newEngine(centre int) *engine {
	return &engine{centre: centre, slow: 1, cache: newPrefixCache(modelCache)}
}

// work returns the time to prefill the prompt, in milliseconds.
func (e *engine) work(p prompt) float64 {
	uncached := float64((p.blocks - e.cache.length(p)) * modelBlock)
	running := float64(min(e.running, modelBatch))
	return e.slow * (modelBase + modelPerToken*uncached) * (1 + modelPerRunning*running)
}

// accept queues a request and returns the time of its first token, the number of
// its cached blocks and the evicted keys.
func (e *engine) accept(now float64, p prompt) (first float64, cached int, evicted []int) {
	cached = e.cache.length(p)
	work := e.work(p)
	e.busy += work
	e.freeAt = max(e.freeAt, now) + work
	e.queued++
	evicted = append(evicted, e.cache.put(p.family, p.familyBlocks, p.familyBlocks)...)
	evicted = append(evicted, e.cache.put(-p.conversation, p.blocks-p.familyBlocks, p.blocks)...)
	return e.freeAt, cached, evicted
}

// decode returns the time to generate the tokens, in milliseconds.
func (e *engine) decode(tokens float64) float64 {
	running := float64(min(e.running, modelBatch))
	return e.slow * tokens * (modelDecode + modelDecodeMore*running)
}

// load returns the load that the engine reports.
func (e *engine) load() sardine.Load {
	perToken := e.decode(1)
	return sardine.Load{Running: e.running, Queued: e.queued, TokensPerSecond: float64(e.running) * 1000 / perToken}
}
