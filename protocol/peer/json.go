package peer

import "encoding/json"

// JSONCodec is a connect codec that encodes plain Go values as JSON.
type JSONCodec struct{}

// Name implements connect.Codec.
func (JSONCodec) Name() string { return "json" }

// Marshal implements connect.Codec.
func (JSONCodec) Marshal(v any) ([]byte, error) { return json.Marshal(v) }

// Unmarshal implements connect.Codec.
func (JSONCodec) Unmarshal(raw []byte, v any) error { return json.Unmarshal(raw, v) }
