package prefixcache

import (
	"encoding/binary"
	"hash/maphash"

	"lovageport.example/internal/protocol/relay"
)

// Prefix is the beginning of a prompt up to the end of one of its parts.
type Prefix struct {
	// Tokens is its length.
	Tokens int
	// hash identifies the account and all parts up to the end of the prefix. Its
	// seed is random, so that no account can name parts that collide with those of
	// another one.
	hash uint64
}

// Prefixes returns the prefixes that the leading parts of an account's prompt
// form, the shortest first. It returns none if the cache is off.
func (c *Cache) Prefixes(account string, parts []relay.PromptPart) []Prefix {
	if !c.Enabled() || len(parts) == 0 {
		return nil
	}
	if !c.seeded {
		c.seed, c.seeded = maphash.MakeSeed(), true
	}
	var h maphash.Hash
	h.SetSeed(c.seed)
	if !c.Shared {
		writeText(&h, account)
	}
	out := make([]Prefix, 0, len(parts))
	tokens := 0
	for _, part := range parts {
		writeText(&h, part.ID)
		writeNumber(&h, part.Tokens)
		tokens += part.Tokens
		out = append(out, Prefix{Tokens: tokens, hash: h.Sum64()})
	}
	return out
}

// writeText adds a text and its length, so that the border of two texts counts.
func writeText(h *maphash.Hash, text string) {
	writeNumber(h, len(text))
	_, _ = h.WriteString(text)
}

func writeNumber(h *maphash.Hash, n int) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(n))
	_, _ = h.Write(b[:])
}
