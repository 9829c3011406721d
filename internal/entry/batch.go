package entry

import (
	"errors"
	"fmt"
	"net"
	"net/netip"

	"golang.org/x/net/ipv4"

	"cassiawood/internal/packet"
	"cassiawood/internal/ring"
)

const (
	// batchSize is the maximum number of datagrams per system call. Larger batches
	// do not reduce the time per packet further on loopback.
	batchSize = 64
	// batchCount is the number of batches, which bounds the packets in flight
	// between the duties.
	batchCount = 32
	// headroomBytes is the number of bytes reserved before each datagram, so that a longer
	// Geneve header can be written without moving the inner packet.
	headroomBytes = packet.MaxHeaderLen
	// maxDatagramBytes is the size of a receive buffer in bytes. It has room for an inner
	// packet of 1,500 bytes with its Geneve header.
	maxDatagramBytes = 2048
)

// slot is one datagram of a batch.
type slot struct {
	buffer [headroomBytes + maxDatagramBytes]byte
	start  int // offset of the datagram in buffer
	end    int
	target netip.AddrPort // invalid if there is nothing to send
}

// batch carries datagrams from the reader through the engine to the writer, which
// returns it to the reader.
type batch struct {
	slots    [batchSize]slot
	messages [batchSize]ipv4.Message
	targets  [batchSize]net.UDPAddr
	count    int // slots in use
}

func newBatch() *batch {
	b := &batch{}
	for i := range b.messages {
		b.messages[i].Buffers = make([][]byte, 1)
		b.targets[i].IP = make(net.IP, net.IPv4len)
	}
	return b
}

// newBatches returns the ring of free batches, filled with batchCount of them.
func newBatches() *ring.Ring[*batch] {
	free := ring.New[*batch]("packet-free", batchCount, ring.Block)
	for range batchCount {
		free.Offer(newBatch())
	}
	return free
}

// read blocks until a datagram arrives and fills the batch with all that are available.
func (b *batch) read(conn *ipv4.PacketConn) error {
	for i := range b.messages {
		b.messages[i].Buffers[0] = b.slots[i].buffer[headroomBytes:]
		b.messages[i].Addr = nil
	}
	n, err := conn.ReadBatch(b.messages[:], 0)
	if err != nil {
		return fmt.Errorf("read packets: %w", err)
	}
	for i := range n {
		b.slots[i].start, b.slots[i].end = headroomBytes, headroomBytes+b.messages[i].N
		b.slots[i].target = netip.AddrPort{}
	}
	b.count = n
	return nil
}

// write sends the datagrams that have a target.
func (b *batch) write(conn *ipv4.PacketConn) error {
	n := 0
	for i := range b.count {
		s := &b.slots[i]
		if !s.target.IsValid() {
			continue
		}
		address := s.target.Addr().As4()
		copy(b.targets[n].IP, address[:])
		b.targets[n].Port = int(s.target.Port())
		b.messages[n].Addr = &b.targets[n]
		b.messages[n].Buffers[0] = s.buffer[s.start:s.end]
		n++
	}
	for sent := 0; sent < n; {
		m, err := conn.WriteBatch(b.messages[sent:n], 0)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return fmt.Errorf("write packets: %w", err)
			}
			// An unreachable target must not block the packets for other targets.
			m = 1
		}
		sent += m
	}
	return nil
}
