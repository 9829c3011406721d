package lab

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"
	"time"
)

// A message of the protocol between callers and backend servers is a line and a
// body, in the same form in both directions:
//
//	VERB id service sender idempotent work_us size\n
//	size bytes of body
//
// The body is derived from the id, so that bytes of another message are detected.
const (
	verbRequest = "REQ"
	verbAnswer  = "OK"
	verbRefusal = "BUSY" // the request was not run
	// verbGoAway asks the caller to close the connection after the outstanding
	// answer. If the server closed it, a request in transit could be lost.
	verbGoAway = "BYE"
)

const (
	maxLineBytes = 256
	// maxBodyBytes bounds the memory that one connection may buffer.
	maxBodyBytes    = 1 << 20
	maxMessageBytes = maxLineBytes + maxBodyBytes
	lineFieldCount  = 7
)

var (
	errMalformedLine = errors.New("malformed line")
	errWrongBody     = errors.New("body does not belong to the message")
)

// message is a request or the response to one.
type message struct {
	Verb       string
	ID         uint64
	Service    string
	Sender     string // name of the group of callers or of the instance
	Idempotent bool
	Work       time.Duration // time that the request occupies a slot
	BodyBytes  int           // length of the body in bytes
}

// append appends the encoding of m with its body to dst.
func (m *message) append(dst []byte) []byte {
	idempotent := 0
	if m.Idempotent {
		idempotent = 1
	}
	dst = fmt.Appendf(dst, "%s %d %s %s %d %d %d\n",
		m.Verb, m.ID, m.Service, m.Sender, idempotent, m.Work.Microseconds(), m.BodyBytes)
	return appendBody(dst, m.ID, m.BodyBytes)
}

// parseMessage parses the first message of b and returns its length in bytes, or
// 0 if b does not hold a complete message yet.
func parseMessage(b []byte) (message, int, error) {
	end := bytes.IndexByte(b, '\n')
	if end < 0 {
		if len(b) > maxLineBytes {
			return message{}, 0, fmt.Errorf("%w: longer than %d bytes", errMalformedLine, maxLineBytes)
		}
		return message{}, 0, nil
	}
	m, err := parseLine(b[:end])
	if err != nil {
		return message{}, 0, err
	}
	length := end + 1 + m.BodyBytes
	if len(b) < length {
		return message{}, 0, nil
	}
	if !isBody(b[end+1:length], m.ID) {
		return message{}, 0, fmt.Errorf("%w %d", errWrongBody, m.ID)
	}
	return m, length, nil
}

func parseLine(line []byte) (message, error) {
	fields := bytes.Fields(line)
	if len(fields) != lineFieldCount {
		return message{}, fmt.Errorf("%w: %d fields instead of %d", errMalformedLine, len(fields), lineFieldCount)
	}
	id, err1 := strconv.ParseUint(string(fields[1]), 10, 64)
	idempotent, err2 := strconv.ParseBool(string(fields[4]))
	work, err3 := strconv.ParseUint(string(fields[5]), 10, 32)
	size, err4 := strconv.ParseUint(string(fields[6]), 10, 32)
	if err := errors.Join(err1, err2, err3, err4); err != nil {
		return message{}, fmt.Errorf("%w: %w", errMalformedLine, err)
	}
	if size > maxBodyBytes {
		return message{}, fmt.Errorf("%w: body of %d bytes is longer than %d bytes", errMalformedLine, size, maxBodyBytes)
	}
	return message{
		Verb: string(fields[0]), ID: id, Service: string(fields[2]), Sender: string(fields[3]),
		Idempotent: idempotent, Work: time.Duration(work) * time.Microsecond, BodyBytes: int(size),
	}, nil
}

// appendBody appends the body of the message with the given id.
func appendBody(dst []byte, id uint64, size int) []byte {
	for i := 0; i < size; i += 8 {
		dst = binary.LittleEndian.AppendUint64(dst, bodyWord(id, i))
	}
	if extra := size % 8; extra != 0 {
		dst = dst[:len(dst)-8+extra]
	}
	return dst
}

// isBody reports whether b is the body of the message with the given id.
func isBody(b []byte, id uint64) bool {
	var word [8]byte
	for i := 0; i < len(b); i += 8 {
		binary.LittleEndian.PutUint64(word[:], bodyWord(id, i))
		chunk := b[i:min(i+8, len(b))]
		if !bytes.Equal(chunk, word[:len(chunk)]) {
			return false
		}
	}
	return true
}

// bodyWord returns the eight bytes of a body at an offset. It mixes id and offset
// with the finalizer of SplitMix64, so that two bodies differ in nearly every word.
func bodyWord(id uint64, offset int) uint64 {
	x := id*0x9e3779b97f4a7c15 + uint64(offset)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
