package wal

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"math"
	"time"

	"cassiawood/internal/changelog"
)

// headerSize is the size in bytes of the header of a record: the length of its
// data (4 bytes, little endian), a CRC-32C (4 bytes, little endian) and its type
// (1 byte). The data follows. The checksum covers the offset of the record in its
// file, the length, the type and the data. It includes the offset so that a copy
// of a record inside the data of another one is not accepted as a record.
const headerSize = 9

// maxRecordBytes limits the size of one record, including its header.
const maxRecordBytes = math.MaxInt32

type recordType byte

const (
	typeSave     recordType = 1 // hard state and entries of one Ready
	typeReset    recordType = 2 // hard state; the log restarts after an installed snapshot
	typeSnapshot recordType = 3 // the only record of a snapshot file
)

var (
	castagnoli       = crc32.MakeTable(crc32.Castagnoli)
	errInvalidRecord = errors.New("record is truncated or its checksum does not match")
	errMalformed     = errors.New("data of the record cannot be decoded")
)

func checksum(offset int64, lengthField []byte, typeAndData []byte) uint32 {
	var offsetField [8]byte
	binary.LittleEndian.PutUint64(offsetField[:], uint64(offset))
	sum := crc32.Update(0, castagnoli, offsetField[:])
	sum = crc32.Update(sum, castagnoli, lengthField)
	return crc32.Update(sum, castagnoli, typeAndData)
}

// beginRecord appends a header, which endRecord completes.
func beginRecord(buf []byte, t recordType) []byte {
	return append(buf, 0, 0, 0, 0, 0, 0, 0, 0, byte(t))
}

// endRecord completes the header of record, which will be written at offset
// in its file.
func endRecord(record []byte, offset int64) {
	binary.LittleEndian.PutUint32(record, uint32(len(record)-headerSize))
	binary.LittleEndian.PutUint32(record[4:], checksum(offset, record[:4], record[8:]))
}

// readRecord returns the record at the start of buf and its size including the
// header.
func readRecord(buf []byte, offset int64) (t recordType, data []byte, size int, err error) {
	if len(buf) < headerSize {
		return 0, nil, 0, errInvalidRecord
	}
	length := int64(binary.LittleEndian.Uint32(buf))
	if length > int64(len(buf)-headerSize) {
		return 0, nil, 0, errInvalidRecord
	}
	size = headerSize + int(length)
	if binary.LittleEndian.Uint32(buf[4:]) != checksum(offset, buf[:4], buf[8:size]) {
		return 0, nil, 0, errInvalidRecord
	}
	return recordType(buf[8]), buf[headerSize:size], size, nil
}

// recordFollows reports whether a complete record begins anywhere after the first
// byte of buf.
func recordFollows(buf []byte, offset int64) bool {
	for i := 1; i+headerSize <= len(buf); i++ {
		if t := recordType(buf[i+8]); t != typeSave && t != typeReset {
			continue
		}
		if _, _, _, err := readRecord(buf[i:], offset+int64(i)); err == nil {
			return true
		}
	}
	return false
}

// Flags of a hard state and of a member.
const (
	flagRejoining = 1
	flagVoter     = 1
)

func appendSave(buf []byte, hs changelog.HardState, entries []changelog.Entry) []byte {
	var flags uint64
	if hs.Rejoining {
		flags |= flagRejoining
	}
	for _, v := range []uint64{hs.Term, hs.Vote, hs.Commit, flags, uint64(len(entries))} {
		buf = binary.AppendUvarint(buf, v)
	}
	for i := range entries {
		e := &entries[i]
		buf = binary.AppendUvarint(buf, e.Index)
		buf = binary.AppendUvarint(buf, e.Term)
		buf = binary.AppendVarint(buf, int64(e.At))
		buf = binary.AppendUvarint(buf, uint64(len(e.Data)))
		buf = append(buf, e.Data...)
		buf = appendMembers(buf, e.Members)
	}
	return buf
}

func appendReset(buf []byte, index uint64, hs changelog.HardState) []byte {
	return appendSave(binary.AppendUvarint(buf, index), hs, nil)
}

func appendSnapshot(buf []byte, s *changelog.Snapshot) []byte {
	buf = binary.AppendUvarint(buf, s.Index)
	buf = binary.AppendUvarint(buf, s.Term)
	buf = binary.AppendVarint(buf, int64(s.At))
	buf = appendMembers(buf, s.Members)
	return append(buf, s.State...)
}

// appendMembers writes the number of members and each of them.
func appendMembers(buf []byte, members changelog.Membership) []byte {
	buf = binary.AppendUvarint(buf, uint64(len(members)))
	for _, m := range members {
		var flags uint64
		if m.Voter {
			flags |= flagVoter
		}
		buf = binary.AppendUvarint(buf, m.ID)
		buf = binary.AppendUvarint(buf, flags)
		for _, text := range []string{m.Address, m.Domain} {
			buf = binary.AppendUvarint(buf, uint64(len(text)))
			buf = append(buf, text...)
		}
	}
	return buf
}

// reader decodes values from the data of a record. It sets invalid if the data ends
// too early or a number is malformed.
type reader struct {
	data    []byte
	invalid bool
}

func (r *reader) uvarint() uint64 {
	v, n := binary.Uvarint(r.data)
	return consume(r, v, n)
}

func (r *reader) varint() int64 {
	v, n := binary.Varint(r.data)
	return consume(r, v, n)
}

func consume[T uint64 | int64](r *reader, v T, n int) T {
	if n <= 0 {
		r.invalid, r.data = true, nil
		return 0
	}
	r.data = r.data[n:]
	return v
}

// bytes returns a copy of the next n bytes, so that the result does not keep the
// content of the whole file in memory.
func (r *reader) bytes(n uint64) []byte {
	if n > uint64(len(r.data)) {
		r.invalid, r.data = true, nil
		return nil
	}
	v := append([]byte(nil), r.data[:n]...)
	r.data = r.data[n:]
	return v
}

func (r *reader) members() changelog.Membership {
	var members changelog.Membership
	for count := r.uvarint(); count > 0 && !r.invalid; count-- {
		m := changelog.Member{ID: r.uvarint(), Voter: r.uvarint()&flagVoter != 0}
		m.Address = string(r.bytes(r.uvarint()))
		m.Domain = string(r.bytes(r.uvarint()))
		members = append(members, m)
	}
	return members
}

func decodeSave(data []byte) (hs changelog.HardState, entries []changelog.Entry, err error) {
	r := reader{data: data}
	hs = changelog.HardState{Term: r.uvarint(), Vote: r.uvarint(), Commit: r.uvarint()}
	hs.Rejoining = r.uvarint()&flagRejoining != 0
	for count := r.uvarint(); count > 0 && !r.invalid; count-- {
		e := changelog.Entry{Index: r.uvarint(), Term: r.uvarint(), At: time.Duration(r.varint())}
		e.Data = r.bytes(r.uvarint())
		e.Members = r.members()
		entries = append(entries, e)
	}
	if r.invalid || len(r.data) > 0 {
		return changelog.HardState{}, nil, errMalformed
	}
	return hs, entries, nil
}

func decodeReset(data []byte) (index uint64, hs changelog.HardState, err error) {
	r := reader{data: data}
	if index = r.uvarint(); index == 0 {
		return 0, changelog.HardState{}, errMalformed
	}
	hs, entries, err := decodeSave(r.data)
	if err == nil && len(entries) > 0 {
		err = errMalformed
	}
	return index, hs, err
}

func decodeSnapshot(data []byte) (changelog.Snapshot, error) {
	r := reader{data: data}
	s := changelog.Snapshot{Index: r.uvarint(), Term: r.uvarint(), At: time.Duration(r.varint())}
	s.Members = r.members()
	if r.invalid || s.Index == 0 {
		return changelog.Snapshot{}, errMalformed
	}
	s.State = r.bytes(uint64(len(r.data)))
	return s, nil
}
