// Package wire is the protocol between cassiawood's own processes: protobuf
// envelopes, length-prefixed, on yamux streams over TCP with TLS.
package wire
