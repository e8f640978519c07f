package configuration

import (
	"errors"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"mintkeel/internal/core/fleet/config"
	"mintkeel/internal/fleet/faultinjection"
	"mintkeel/internal/store/disk"
	"mintkeel/internal/store/documents"
)

// FolderName is the name of the folder of configuration versions within the fleet's folder.
const FolderName = "config"

// folderBounds are a backstop: the core keeps what is stored within config.MaxStored, but removes
// nothing in its first minute.
var folderBounds = documents.Bounds{
	Document:  config.MaxDocument,
	Documents: 256,
	Bytes:     4 * config.MaxStored,
}

// currentRecord is what the folder's record holds: the version to be in force at a start.
type currentRecord struct {
	Generation uint64         `cbor:"1,keyasint"`
	Version    config.Version `cbor:"2,keyasint"`
}

// atLeast reports whether a record is of this version or of a later one of the generation. It is
// false for no record (nil).
func (r *currentRecord) atLeast(generation uint64, v config.Version) bool {
	if r == nil || r.Generation != generation {
		return false
	}
	return r.Version.Number > v.Number || r.Version.Number == v.Number && r.Version.Hash == v.Hash
}

// recordDecoder reads what this controller wrote itself.
var recordDecoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 20, MaxNestedLevels: 8}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}()

// Folder stores versions. It is used by one goroutine at a time.
type Folder struct {
	folder     *documents.Folder
	generation uint64 // of the fleet

	// otherGeneration is the record of another generation, if the folder had one: it is put back while there
	// is no version of this generation.
	otherGeneration *documents.Current

	pendingRemovals []config.Hash // documents that could not be removed yet
}

// Contents is what a folder held when it was opened.
type Contents struct {
	record    *currentRecord // nil: none
	document  []byte         // of the record
	documents map[config.Hash][]byte
	damaged   int // files that were dropped
}

// OpenFolder takes the folder for this process and reads it.
func OpenFolder(d disk.Disk, generation uint64) (*Folder, Contents, error) {
	if err := d.Make(); err != nil {
		return nil, Contents{}, err
	}
	folder, stored, err := documents.Open(d, folderBounds)
	if err != nil {
		return nil, Contents{}, err
	}
	f := &Folder{folder: folder, generation: generation}
	contents := Contents{documents: map[config.Hash][]byte{}, damaged: stored.Damaged}
	for hash, document := range stored.Documents {
		contents.documents[config.Hash(hash)] = document
	}
	if stored.Current == nil {
		return f, contents, nil
	}
	var record currentRecord
	err = recordDecoder.Unmarshal(stored.Current.Record, &record)
	if err != nil || record.Version.Number == 0 ||
		record.Version.Hash != config.Hash(stored.Current.Document) {
		contents.damaged++
		return f, contents, nil
	}
	contents.record = &record
	contents.document = stored.Documents[stored.Current.Document]
	if record.Generation != generation {
		f.otherGeneration = stored.Current
	}
	return f, contents, nil
}

// Store carries out a request. Nothing is removed before the rest is durable.
func (f *Folder) Store(request *config.StoreRequest) error {
	if err := faultinjection.BeforeWrite(); err != nil {
		return err
	}
	if request.Document != nil {
		if err := f.folder.Put(documents.Hash(request.Hash), request.Document); err != nil {
			return err
		}
	}
	if request.Current != nil {
		if err := f.setCurrent(*request.Current); err != nil {
			return err
		}
	}
	f.remove(request)
	return nil
}

// setCurrent has a version be the one in force at a start. Number 0 is none of this generation.
func (f *Folder) setCurrent(v config.Version) error {
	if v.Number == 0 {
		return f.clearCurrent()
	}
	record, err := cbor.Marshal(currentRecord{Generation: f.generation, Version: v})
	if err != nil {
		return err
	}
	return f.folder.SetCurrent(documents.Current{Document: documents.Hash(v.Hash), Record: record})
}

func (f *Folder) clearCurrent() error {
	if f.otherGeneration != nil {
		if err := f.folder.SetCurrent(*f.otherGeneration); !errors.Is(err, documents.ErrNotFound) {
			return err
		}
	}
	return f.folder.ClearCurrent()
}

// remove lets documents go. One that can't be removed is tried again with the next request, unless
// it was stored again.
func (f *Folder) remove(request *config.StoreRequest) {
	hashes := slices.Concat(f.pendingRemovals, request.Remove)
	f.pendingRemovals = nil
	for _, hash := range hashes {
		if hash == request.Hash {
			continue
		}
		if err := f.folder.Remove(documents.Hash(hash)); err != nil &&
			!slices.Contains(f.pendingRemovals, hash) {
			f.pendingRemovals = append(f.pendingRemovals, hash)
		}
	}
}

// Close lets others have the folder.
func (f *Folder) Close() { f.folder.Close() }
