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

// folderBounds are a backstop above the core's own bound: the core keeps the stored documents
// within config.MaxStored, but removes nothing in its first minute.
var folderBounds = documents.Bounds{
	Document:  config.MaxDocument,
	Documents: 256,
	Bytes:     4 * config.MaxStored,
}

// currentRecord is the content of the folder's record: the version to apply at a start.
type currentRecord struct {
	Generation uint64         `cbor:"1,keyasint"`
	Version    config.Version `cbor:"2,keyasint"`
}

// atLeast reports whether the record names this version or a later one of the generation. It is
// false for a nil record.
func (r *currentRecord) atLeast(generation uint64, v config.Version) bool {
	if r == nil || r.Generation != generation {
		return false
	}
	return r.Version.Number > v.Number || r.Version.Number == v.Number && r.Version.Hash == v.Hash
}

// recordDecoder decodes records that this controller wrote itself.
var recordDecoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 20, MaxNestedLevels: 8}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}()

// Folder stores versions. It is not safe for concurrent use.
type Folder struct {
	folder     *documents.Folder
	generation uint64 // of the fleet

	// otherGeneration is the record of another generation, if the folder had one. It is restored while
	// there is no version of this generation.
	otherGeneration *documents.Current

	pendingRemovals []config.Hash // documents whose removal failed
}

// Contents is the content of a folder when it was opened.
type Contents struct {
	record    *currentRecord // nil if there is none
	document  []byte         // the document that the record names
	documents map[config.Hash][]byte
	damaged   int // damaged files that were dropped
}

// OpenFolder locks the folder for this process and reads it.
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

// Store executes a request. It removes documents only after all writes are durable.
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

// setCurrent records the version to apply at a start. Number 0 stands for no version of this
// generation.
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

// clearCurrent restores the record of another generation if its document is still stored, and
// otherwise clears the record.
func (f *Folder) clearCurrent() error {
	if f.otherGeneration != nil {
		if err := f.folder.SetCurrent(*f.otherGeneration); !errors.Is(err, documents.ErrNotFound) {
			return err
		}
	}
	return f.folder.ClearCurrent()
}

// remove removes documents. A removal that fails is retried with the next request, unless the
// document has been stored again.
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

// Close unlocks the folder.
func (f *Folder) Close() { f.folder.Close() }
