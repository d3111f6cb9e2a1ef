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

// meter is an encoding that counts the bytes of one call.
type meter struct {
	encoding
	sent, received int
}

// Marshal implements drpc.Encoding.
func (m *meter) Marshal(x drpc.Message) ([]byte, error) {
	raw, err := m.encoding.Marshal(x)
	m.sent += len(raw)
	return raw, err
}

// Unmarshal implements drpc.Encoding.
func (m *meter) Unmarshal(raw []byte, x drpc.Message) error {
	m.received += len(raw)
	return m.encoding.Unmarshal(raw, x)
}
