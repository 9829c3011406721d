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
	// batchSize is the number of datagrams of one system call. Larger batches
	// no longer lower the time per packet on loopback.
	batchSize = 64
	// batchCount bounds the packets in flight between the duties of a process.
	batchCount = 32
	// headroom is kept free before each datagram, so that a longer Geneve header
	// can be written without moving the inner packet.
	headroom = packet.MaxHeaderLen
	// maxDatagram holds an inner packet of 1,500 bytes with its Geneve header.
	maxDatagram = 2048
)

// slot is one datagram of a batch.
type slot struct {
	buffer [headroom + maxDatagram]byte
	start  int // of the datagram to send
	end    int
	to     netip.AddrPort // invalid when there is nothing to send
}

// batch carries datagrams from the reader through the engine to the writer,
// which gives it back to the reader.
type batch struct {
	slots    [batchSize]slot
	messages [batchSize]ipv4.Message
	targets  [batchSize]net.UDPAddr
	n        int
}

func newBatch() *batch {
	b := &batch{}
	for i := range b.messages {
		b.messages[i].Buffers = make([][]byte, 1)
		b.targets[i].IP = make(net.IP, net.IPv4len)
	}
	return b
}

// newBatches returns the ring of free batches.
func newBatches() *ring.Ring[*batch] {
	free := ring.New[*batch]("packet-free", batchCount, ring.Block)
	for range batchCount {
		free.Offer(newBatch())
	}
	return free
}

// read fills the batch with the datagrams that are waiting, at least one.
func (b *batch) read(conn *ipv4.PacketConn) error {
	for i := range b.messages {
		b.messages[i].Buffers[0] = b.slots[i].buffer[headroom:]
		b.messages[i].Addr = nil
	}
	n, err := conn.ReadBatch(b.messages[:], 0)
	if err != nil {
		return fmt.Errorf("read packets: %w", err)
	}
	for i := range n {
		b.slots[i].start, b.slots[i].end = headroom, headroom+b.messages[i].N
		b.slots[i].to = netip.AddrPort{}
	}
	b.n = n
	return nil
}

// write sends the datagrams that have a target.
func (b *batch) write(conn *ipv4.PacketConn) error {
	n := 0
	for i := range b.n {
		s := &b.slots[i]
		if !s.to.IsValid() {
			continue
		}
		address := s.to.Addr().As4()
		copy(b.targets[n].IP, address[:])
		b.targets[n].Port = int(s.to.Port())
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
			// One unreachable target must not hold back the packets for others.
			m = 1
		}
		sent += m
	}
	return nil
}
