package wire

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"

	"cassiawood/internal/wire/wirepb"
)

// minCompressedBytes is the size of an envelope from which it is compressed. Smaller ones fit into one or
// two packets anyway.
const minCompressedBytes = 1 << 10

// EncodeCompressed is like Encode, but compresses the envelope with DEFLATE (RFC 1951) if it is large. The
// peer must have said that it reads compressed envelopes.
func EncodeCompressed(e *wirepb.Envelope) ([]byte, error) {
	if proto.Size(e) < minCompressedBytes {
		return Encode(e)
	}
	data, err := proto.Marshal(e)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", e.GetBody(), err)
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err == nil {
		_, err = w.Write(data)
	}
	if err == nil {
		err = w.Close()
	}
	if err != nil {
		return nil, fmt.Errorf("compress %T: %w", e.GetBody(), err)
	}
	return Encode(&wirepb.Envelope{Body: &wirepb.Envelope_Compressed{Compressed: b.Bytes()}})
}

// Decompress returns the envelope that a compressed one contains, and any other envelope as it is. It
// returns an error if the content is invalid, larger than the limit for envelopes or compressed again.
func Decompress(e *wirepb.Envelope) (*wirepb.Envelope, error) {
	compressed, ok := e.GetBody().(*wirepb.Envelope_Compressed)
	if !ok {
		return e, nil
	}
	r := flate.NewReader(bytes.NewReader(compressed.Compressed))
	data, err := io.ReadAll(io.LimitReader(r, maxMessageBytes+1))
	if err == nil && len(data) > maxMessageBytes {
		err = fmt.Errorf("more than %d bytes", maxMessageBytes)
	}
	inner := &wirepb.Envelope{}
	if err == nil {
		err = proto.Unmarshal(data, inner)
	}
	if _, again := inner.GetBody().(*wirepb.Envelope_Compressed); err == nil && again {
		err = errors.New("compressed twice")
	}
	if err != nil {
		return nil, fmt.Errorf("decompress: %w", err)
	}
	return inner, nil
}
