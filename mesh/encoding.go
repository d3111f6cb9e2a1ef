package mesh

import (
	"github.com/fxamacker/cbor/v2"
	"storj.io/drpc"
)

// encoding encodes messages as CBOR, with the names in their JSON tags as keys.
type encoding struct{}

// Marshal implements drpc.Encoding.
func (encoding) Marshal(m drpc.Message) ([]byte, error) { return cbor.Marshal(m) }

// Unmarshal implements drpc.Encoding.
func (encoding) Unmarshal(raw []byte, m drpc.Message) error { return cbor.Unmarshal(raw, m) }
