package wal_test

import (
	"errors"
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"

	"cassiawood/internal/changelog/wal"
)

var errInjected = errors.New("injected fault")

// fakeFS is an FS in memory that can crash. A crash keeps all synced data and file
// names and, like a disk, a random choice of the unsynced changes of names and a
// random prefix of the unsynced data of each file.
type fakeFS struct {
	live, durable map[string]*inode
	before        func(op, name string) error // called before most operations that modify files; its error is returned
}

type inode struct{ data, synced []byte }

func newFakeFS() *fakeFS {
	return &fakeFS{live: map[string]*inode{}, durable: map[string]*inode{}}
}

func (f *fakeFS) fail(op, name string) error {
	if f.before == nil {
		return nil
	}
	return f.before(op, name)
}

func (f *fakeFS) crash(random *rand.Rand) {
	for _, name := range slices.Concat(slices.Sorted(maps.Keys(f.live)), slices.Sorted(maps.Keys(f.durable))) {
		if old, ok := f.durable[name]; random.IntN(2) == 0 {
			if f.live[name] = old; !ok {
				delete(f.live, name)
			}
		}
	}
	for _, node := range f.live {
		kept := len(node.synced)
		if unsynced := len(node.data) - kept; unsynced > 0 {
			kept += random.IntN(unsynced + 1)
			node.synced = node.data[:kept]
		}
		node.data = slices.Clone(node.synced)
		node.synced = node.data[:len(node.data):len(node.data)]
	}
	f.durable, f.before = maps.Clone(f.live), nil
}

func (f *fakeFS) List() ([]string, error) { return slices.Collect(maps.Keys(f.live)), nil }

func (f *fakeFS) ReadFile(name string) ([]byte, error) {
	node, ok := f.live[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(node.data), nil
}

func (f *fakeFS) Create(name string) (wal.File, error) {
	if err := f.fail("create", name); err != nil {
		return nil, err
	}
	f.live[name] = &inode{}
	return &fakeFile{f, name, f.live[name]}, nil
}

func (f *fakeFS) Append(name string, at int64) (wal.File, error) {
	node := f.live[name]
	node.data = slices.Clone(node.data[:at])
	return &fakeFile{f, name, node}, nil
}

func (f *fakeFS) Rename(from, to string) error {
	if err := f.fail("rename", to); err != nil {
		return err
	}
	f.live[to] = f.live[from]
	delete(f.live, from)
	return nil
}

func (f *fakeFS) Remove(name string) error {
	delete(f.live, name)
	return f.fail("remove", name)
}

func (f *fakeFS) SyncDir() error {
	if err := f.fail("syncdir", ""); err != nil {
		return err
	}
	f.durable = maps.Clone(f.live)
	return nil
}

type fakeFile struct {
	fs   *fakeFS
	name string
	node *inode
}

func (f *fakeFile) Write(p []byte) (int, error) {
	if err := f.fs.fail("write", f.name); err != nil {
		return 0, err
	}
	f.node.data = append(f.node.data, p...)
	return len(p), nil
}

func (f *fakeFile) Sync() error {
	if err := f.fs.fail("sync", f.name); err != nil {
		return err
	}
	f.node.synced = f.node.data[:len(f.node.data):len(f.node.data)]
	return nil
}

func (f *fakeFile) Close() error { return nil }
