package peer

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"storj.io/drpc"
)

// Limits on the CBOR structure of a message.
const (
	maxMapPairs      = 64
	maxArrayElements = 1 << 17
	maxNesting       = 16
)

// checker is a message that can validate itself.
type checker interface{ Check() error }

// codec encodes messages as CBOR and validates decoded ones.
type codec struct{ mode cbor.DecMode }

var errNotMessage = errors.New("peer: not a message of this protocol")

// messageCodec is shared by all connections; it holds no mutable state.
var messageCodec = newCodec()

// newCodec returns a codec. It panics on invalid options, which are constant.
func newCodec() codec {
	mode, err := cbor.DecOptions{
		MaxMapPairs:      maxMapPairs,
		MaxArrayElements: maxArrayElements,
		MaxNestedLevels:  maxNesting,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return codec{mode}
}

// Marshal encodes a message.
func (codec) Marshal(m drpc.Message) ([]byte, error) {
	text, err := cbor.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("peer: %w", err)
	}
	return text, nil
}

// Unmarshal decodes and validates a message.
func (c codec) Unmarshal(text []byte, m drpc.Message) error {
	message, ok := m.(checker)
	if !ok {
		return errNotMessage
	}
	if err := c.mode.Unmarshal(text, m); err != nil {
		return fmt.Errorf("peer: %w", err)
	}
	return message.Check()
}
