package mesh

import (
	"github.com/fxamacker/cbor/v2"
	"storj.io/drpc"
)

// encoding writes messages as CBOR, with the names of their JSON tags.
type encoding struct{}

// Marshal implements drpc.Encoding.
func (encoding) Marshal(m drpc.Message) ([]byte, error) { return cbor.Marshal(m) }

// Unmarshal implements drpc.Encoding.
func (encoding) Unmarshal(raw []byte, m drpc.Message) error { return cbor.Unmarshal(raw, m) }
