// Package wal stores the hard state, log and snapshot of a member of the
// replicated log as checksummed files in one folder.
package wal

import (
	"errors"
	"io"
	"os"
	"path/filepath"
)

// FS is the folder with the files. File names are relative to it.
type FS interface {
	List() ([]string, error)
	ReadFile(name string) ([]byte, error)
	Create(name string) (File, error)             // truncates an existing file
	Append(name string, size int64) (File, error) // opens an existing file for appending and truncates it to size
	Rename(from, to string) error                 // replaces an existing file to
	Remove(name string) error
	SyncDir() error // makes the creation, renaming and removal of files durable
}

// File is a file that is open for writing.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

// Dir is the path of a folder of the operating system, as an FS.
type Dir string

// NewDir creates the folder if it does not exist and syncs its parent.
func NewDir(path string) (Dir, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return "", err
	}
	return Dir(path), syncFolder(filepath.Dir(filepath.Clean(path)))
}

// List returns the names of the regular files.
func (d Dir) List() ([]string, error) {
	found, err := os.ReadDir(string(d))
	var names []string
	for _, f := range found {
		if f.Type().IsRegular() {
			names = append(names, f.Name())
		}
	}
	return names, err
}

// ReadFile returns the content of a file.
func (d Dir) ReadFile(name string) ([]byte, error) { return os.ReadFile(d.path(name)) }

// Create opens an empty file for writing.
func (d Dir) Create(name string) (File, error) {
	return os.OpenFile(d.path(name), os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
}

// Append opens a file for appending and truncates it to size.
func (d Dir) Append(name string, size int64) (File, error) {
	f, err := os.OpenFile(d.path(name), os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	if err := f.Truncate(size); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}

// Rename renames a file and replaces an existing file of the new name.
func (d Dir) Rename(from, to string) error { return os.Rename(d.path(from), d.path(to)) }

// Remove removes a file.
func (d Dir) Remove(name string) error { return os.Remove(d.path(name)) }

// SyncDir syncs the folder, which makes its file names durable.
func (d Dir) SyncDir() error { return syncFolder(string(d)) }

func (d Dir) path(name string) string { return filepath.Join(string(d), name) }

func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(folder.Sync(), folder.Close())
}
