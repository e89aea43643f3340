package disk

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"syscall"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
)

const (
	filePermission   = 0o600
	folderPermission = 0o700
)

// Folder is a folder of the operating system.
type Folder struct {
	path string
}

// NewFolder returns the folder at path and creates it if needed.
func NewFolder(path string) (*Folder, error) {
	if err := os.MkdirAll(path, folderPermission); err != nil {
		return nil, withCode(err, "data folder "+path)
	}
	return &Folder{path: path}, nil
}

// Path returns the path of the folder.
func (f *Folder) Path() string {
	return f.path
}

// Create creates or truncates a file for writing. Writes go to the file's end,
// also after Truncate has shortened it.
func (f *Folder) Create(name string) (sardine.File, error) {
	return f.open(name, os.O_CREATE|os.O_TRUNC|os.O_APPEND|os.O_WRONLY)
}

// Append opens a file for writing at its end and creates it if needed.
func (f *Folder) Append(name string) (sardine.File, error) {
	return f.open(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY)
}

// ReadFile returns the whole content of a file.
func (f *Folder) ReadFile(name string) ([]byte, error) {
	data, err := os.ReadFile(f.join(name))
	return data, withCode(err, "read "+name)
}

// Rename atomically renames oldName to newName and replaces any existing file.
func (f *Folder) Rename(oldName, newName string) error {
	return withCode(os.Rename(f.join(oldName), f.join(newName)), "rename "+oldName)
}

// Remove deletes a file.
func (f *Folder) Remove(name string) error {
	return withCode(os.Remove(f.join(name)), "remove "+name)
}

// Truncate shortens a file to size bytes.
func (f *Folder) Truncate(name string, size int64) error {
	return withCode(os.Truncate(f.join(name), size), "truncate "+name)
}

// List returns the names of all files, sorted.
func (f *Folder) List() ([]string, error) {
	found, err := os.ReadDir(f.path)
	if err != nil {
		return nil, withCode(err, "list "+f.path)
	}
	var names []string
	for _, e := range found {
		if !e.IsDir() {
			names = append(names, e.Name())
		}
	}
	slices.Sort(names)
	return names, nil
}

// SyncFolder makes creations, renames and removals durable.
func (f *Folder) SyncFolder() error {
	d, err := os.Open(f.path)
	if err != nil {
		return codes.Wrap(codes.SyncFailed, err, "open "+f.path)
	}
	err = d.Sync()
	if closeErr := d.Close(); err == nil {
		err = closeErr
	}
	return codes.Wrap(codes.SyncFailed, err, "sync "+f.path)
}

func (f *Folder) join(name string) string {
	return filepath.Join(f.path, name)
}

func (f *Folder) open(name string, flags int) (sardine.File, error) {
	o, err := os.OpenFile(f.join(name), flags, filePermission)
	if err != nil {
		return nil, withCode(err, "open "+name)
	}
	return &file{file: o}, nil
}

// file is an open file of a Folder.
type file struct {
	file *os.File
}

// Write appends data.
func (f *file) Write(data []byte) (int, error) {
	n, err := f.file.Write(data)
	return n, withCode(err, "write "+f.file.Name())
}

// Sync makes the content durable.
func (f *file) Sync() error {
	err := f.file.Sync()
	if isFull(err) {
		return withCode(err, "sync "+f.file.Name())
	}
	return codes.Wrap(codes.SyncFailed, err, "sync "+f.file.Name())
}

// Close closes the file.
func (f *file) Close() error {
	return withCode(f.file.Close(), "close "+f.file.Name())
}

func isFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// withCode wraps an error of the operating system with its result code. The error
// for a missing file still matches fs.ErrNotExist.
func withCode(err error, message string) error {
	switch {
	case err == nil:
		return nil
	case isFull(err):
		return codes.Wrap(codes.DiskFull, err, message)
	case errors.Is(err, fs.ErrNotExist):
		return codes.Wrap(codes.Internal, err, message)
	default:
		return codes.Wrap(codes.SyncFailed, err, message)
	}
}
