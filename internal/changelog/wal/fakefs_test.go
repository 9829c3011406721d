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
	current, durable map[string]*inode
	beforeOp         func(op, name string) error // called before most operations that modify files; its error is returned
}

type inode struct{ data, synced []byte }

func newFakeFS() *fakeFS {
	return &fakeFS{current: map[string]*inode{}, durable: map[string]*inode{}}
}

func (f *fakeFS) runBeforeOp(op, name string) error {
	if f.beforeOp == nil {
		return nil
	}
	return f.beforeOp(op, name)
}

func (f *fakeFS) crash(random *rand.Rand) {
	for _, name := range slices.Concat(slices.Sorted(maps.Keys(f.current)), slices.Sorted(maps.Keys(f.durable))) {
		if old, ok := f.durable[name]; random.IntN(2) == 0 {
			if f.current[name] = old; !ok {
				delete(f.current, name)
			}
		}
	}
	for _, node := range f.current {
		kept := len(node.synced)
		if unsynced := len(node.data) - kept; unsynced > 0 {
			kept += random.IntN(unsynced + 1)
			node.synced = node.data[:kept]
		}
		node.data = slices.Clone(node.synced)
		node.synced = node.data[:len(node.data):len(node.data)]
	}
	f.durable, f.beforeOp = maps.Clone(f.current), nil
}

func (f *fakeFS) List() ([]string, error) { return slices.Collect(maps.Keys(f.current)), nil }

func (f *fakeFS) ReadFile(name string) ([]byte, error) {
	node, ok := f.current[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(node.data), nil
}

func (f *fakeFS) Create(name string) (wal.File, error) {
	if err := f.runBeforeOp("create", name); err != nil {
		return nil, err
	}
	f.current[name] = &inode{}
	return &fakeFile{f, name, f.current[name]}, nil
}

func (f *fakeFS) Append(name string, size int64) (wal.File, error) {
	node := f.current[name]
	node.data = slices.Clone(node.data[:size])
	return &fakeFile{f, name, node}, nil
}

func (f *fakeFS) Rename(from, to string) error {
	if err := f.runBeforeOp("rename", to); err != nil {
		return err
	}
	f.current[to] = f.current[from]
	delete(f.current, from)
	return nil
}

func (f *fakeFS) Remove(name string) error {
	delete(f.current, name)
	return f.runBeforeOp("remove", name)
}

func (f *fakeFS) SyncDir() error {
	if err := f.runBeforeOp("syncdir", ""); err != nil {
		return err
	}
	f.durable = maps.Clone(f.current)
	return nil
}

type fakeFile struct {
	fs   *fakeFS
	name string
	node *inode
}

func (f *fakeFile) Write(p []byte) (int, error) {
	if err := f.fs.runBeforeOp("write", f.name); err != nil {
		return 0, err
	}
	f.node.data = append(f.node.data, p...)
	return len(p), nil
}

func (f *fakeFile) Sync() error {
	if err := f.fs.runBeforeOp("sync", f.name); err != nil {
		return err
	}
	f.node.synced = f.node.data[:len(f.node.data):len(f.node.data)]
	return nil
}

func (f *fakeFile) Close() error { return nil }
