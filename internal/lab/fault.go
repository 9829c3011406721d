package lab

import (
	"fmt"
	"net/netip"
)

// Fault is a change of the fabric's behaviour during a run.
type Fault interface {
	apply(n *network) error
}

// SetLink replaces the link between two failure domains, in both directions.
type SetLink struct {
	A, B string
	Link Link
}

// CutLink cuts the link between two failure domains, or restores it.
type CutLink struct {
	A, B string
	Cut  bool
}

// SetBetween replaces the links between all pairs of different failure domains,
// except those changed by SetLink or CutLink.
type SetBetween struct{ Link Link }

// RemoveEntryHost removes an entry host from the spray, or puts it back. The
// fabric still accepts packets that the host sends.
type RemoveEntryHost struct {
	Name    string
	Removed bool
}

// AddEntryHost adds an entry host to the spray, or changes the address of one.
type AddEntryHost struct{ EntryHost EntryHost }

// SilenceFlow drops every packet between a backend server and a caller, or stops
// doing so, as if one end had lost its connection state behind a packet filter.
type SilenceFlow struct {
	Backend, Caller netip.AddrPort
	Silent          bool
}

func (f SetLink) apply(n *network) error {
	n.links[linkKey{f.A, f.B}] = f.Link
	n.links[linkKey{f.B, f.A}] = f.Link
	return nil
}

func (f CutLink) apply(n *network) error {
	for _, key := range []linkKey{{f.A, f.B}, {f.B, f.A}} {
		l := n.linkFor(key)
		l.Cut = f.Cut
		n.links[key] = l
	}
	return nil
}

func (f SetBetween) apply(n *network) error {
	n.between = f.Link
	return nil
}

func (f RemoveEntryHost) apply(n *network) error {
	for i := range n.entryHosts {
		if n.entryHosts[i].Name == f.Name {
			n.entryHosts[i].removed = f.Removed
			return nil
		}
	}
	return fmt.Errorf("no entry host %q in the spray", f.Name)
}

func (f AddEntryHost) apply(n *network) error {
	n.addEntryHost(f.EntryHost)
	return nil
}

func (f SilenceFlow) apply(n *network) error {
	if f.Silent {
		n.silenced[flowPair{f.Backend, f.Caller}] = true
	} else {
		delete(n.silenced, flowPair{f.Backend, f.Caller})
	}
	return nil
}
