package cluster

import (
	"errors"
	"os"
	"path/filepath"
	"time"

	"google.golang.org/protobuf/proto"

	"cassiawood/internal/coldstart"
	"cassiawood/internal/ring"
	"cassiawood/internal/wire/wirepb"
)

const (
	grantsFile     = "grants"
	grantsTempFile = "grants.tmp"
	// grantSaveInterval is the time after which a write that was not confirmed is repeated.
	grantSaveInterval = 500 * time.Millisecond
)

// grantSnapshot is the content of the file of grants. A grant is written before it is sent, so that the next process of this host
// does not issue it again.
type grantSnapshot struct {
	revision uint64
	data     []byte
}

// grantsSaved reports to the state duty that a snapshot is on disk.
type grantsSaved struct{ revision uint64 }

func (grantsSaved) isEvent() {}

// openColdGrants reads the grants that earlier processes of this host have issued. If the file cannot be read, any grant for an endpoint
// that started before this process may have been issued.
func (h *Host) openColdGrants() coldGrants {
	g := coldGrants{files: h.grantFiles, issued: map[coldstart.Incarnation]bool{}}
	data, err := os.ReadFile(filepath.Join(h.settings.DataFolder, grantsFile))
	if errors.Is(err, os.ErrNotExist) {
		return g
	}
	if err == nil {
		g.issued, err = decodeGrants(data)
	}
	if err != nil {
		h.log.Warn("saved grants cannot be read", "error", err)
		g.lacksIssued = true
	}
	return g
}

// decodeGrants returns the incarnations in a file of grants.
func decodeGrants(data []byte) (map[coldstart.Incarnation]bool, error) {
	saved, issued := &wirepb.EdgeUpdate{}, map[coldstart.Incarnation]bool{}
	if err := proto.Unmarshal(data, saved); err != nil {
		return issued, err
	}
	for _, grant := range saved.GetGrants() {
		issued[coldstart.Incarnation{ID: grant.GetId(), StartedAtMs: grant.GetBornMs()}] = true
	}
	return issued, nil
}

// writeGrants replaces the file of grants. After an error the state duty offers a snapshot again, and no grant is sent meanwhile.
func (h *Host) writeGrants(s grantSnapshot) error {
	if err := replaceFile(h.settings.DataFolder, grantsFile, grantsTempFile, s.data); err != nil {
		h.log.Warn("grants not saved", "error", err)
		return nil
	}
	_, _ = h.stateInbox.Put(grantsSaved{revision: s.revision}) // fails only while the process stops
	return nil
}

// save hands the issued grants of the slow starts in progress to the duty that writes them, if there are new ones or the last
// write was not confirmed in time.
func (g *coldGrants) save(now time.Duration) {
	isUnsaved := g.savedRevision < g.revision && now-g.offeredAt >= grantSaveInterval
	if !g.hasNew && !isUnsaved {
		return
	}
	if g.hasNew {
		g.revision++
	}
	content := &wirepb.EdgeUpdate{}
	for id, p := range g.periods {
		if p.isChosen && p.revision == 0 {
			p.revision = g.revision
		}
		if i := (coldstart.Incarnation{ID: id, StartedAtMs: p.startedAtMs}); now < p.coldUntil && (p.revision > 0 || g.issued[i]) {
			content.Grants = append(content.Grants, &wirepb.ColdGrant{Id: id, BornMs: p.startedAtMs})
		}
	}
	data, err := proto.Marshal(content)
	if err != nil {
		return // no grant is sent
	}
	g.hasNew, g.offeredAt = false, now
	g.files.Offer(grantSnapshot{revision: g.revision, data: data})
}

func newGrantFiles() *ring.Ring[grantSnapshot] {
	return ring.New[grantSnapshot]("grant-files-in", 1, ring.DropOldest)
}
