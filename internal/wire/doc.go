// Package wire implements the internal protocol between cassiawood's processes:
// length-prefixed protobuf envelopes on yamux streams over TCP with TLS, and the
// conversion of messages, log entries and snapshots to and from the types of the
// packages that decide.
package wire
