package fleet

import (
	"errors"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"mintkeel/internal/core/fleet/config"
	"mintkeel/internal/fleet/faultinjection"
	"mintkeel/internal/store/disk"
	"mintkeel/internal/store/documents"
)

// configFolderName is the folder of configuration versions within the fleet's folder.
const configFolderName = "config"

// configBounds are a backstop: the core keeps what is stored within config.MaxStored, but removes nothing in its first minute.
var configBounds = documents.Bounds{Document: config.MaxDocument, Documents: 256, Bytes: 4 * config.MaxStored}

// configRecord is what the folder's record holds: the version to be in force at a start.
type configRecord struct {
	Generation uint64         `cbor:"1,keyasint"`
	Version    config.Version `cbor:"2,keyasint"`
}

// atLeast tells whether a record is of this version or of a later one of the generation; none is not.
func (r *configRecord) atLeast(generation uint64, v config.Version) bool {
	if r == nil || r.Generation != generation {
		return false
	}
	return r.Version.Number > v.Number || r.Version.Number == v.Number && r.Version.Hash == v.Hash
}

// configFolder stores versions. It is used by one goroutine at a time.
type configFolder struct {
	folder     *documents.Folder
	generation uint64
	earlier    *documents.Current // of another generation: it counts at a start until a version of this one does
	unremoved  []config.Hash      // that could not be removed yet
}

// configContents is what a folder held when it was opened.
type configContents struct {
	record    *configRecord // nil: none
	document  []byte        // of the record
	documents map[config.Hash][]byte
	damaged   int
}

// openConfigFolder takes the folder for this process and reads it.
func openConfigFolder(d disk.Disk, generation uint64) (*configFolder, configContents, error) {
	if err := d.Make(); err != nil {
		return nil, configContents{}, err
	}
	folder, stored, err := documents.Open(d, configBounds)
	if err != nil {
		return nil, configContents{}, err
	}
	f := &configFolder{folder: folder, generation: generation}
	contents := configContents{documents: map[config.Hash][]byte{}, damaged: stored.Damaged}
	for hash, document := range stored.Documents {
		contents.documents[config.Hash(hash)] = document
	}
	if stored.Current == nil {
		return f, contents, nil
	}
	var record configRecord
	err = recordForm.Unmarshal(stored.Current.Record, &record)
	if err != nil || record.Version.Number == 0 || record.Version.Hash != config.Hash(stored.Current.Document) {
		contents.damaged++
		return f, contents, nil
	}
	contents.record, contents.document = &record, stored.Documents[stored.Current.Document]
	if record.Generation != generation {
		f.earlier = stored.Current
	}
	return f, contents, nil
}

// store carries out a request. Nothing is removed before the rest is durable.
func (f *configFolder) store(request *config.StoreRequest) error {
	if err := faultinjection.BeforeSave(); err != nil {
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

// setCurrent has a version be the one to be in force at a start. One of number 0 is none of this generation.
func (f *configFolder) setCurrent(v config.Version) error {
	if v.Number == 0 {
		return f.clearCurrent()
	}
	record, err := cbor.Marshal(configRecord{Generation: f.generation, Version: v})
	if err != nil {
		return err
	}
	return f.folder.SetCurrent(documents.Current{Document: documents.Hash(v.Hash), Record: record})
}

func (f *configFolder) clearCurrent() error {
	if f.earlier != nil {
		if err := f.folder.SetCurrent(*f.earlier); !errors.Is(err, documents.ErrNotFound) {
			return err
		}
	}
	return f.folder.ClearCurrent()
}

// remove lets documents go. One that can't be removed is tried again with the next request, unless it was stored again.
func (f *configFolder) remove(request *config.StoreRequest) {
	hashes := slices.Concat(f.unremoved, request.Remove)
	f.unremoved = nil
	for _, hash := range hashes {
		if hash == request.Hash {
			continue
		}
		if err := f.folder.Remove(documents.Hash(hash)); err != nil && !slices.Contains(f.unremoved, hash) {
			f.unremoved = append(f.unremoved, hash)
		}
	}
}

// close lets others have the folder.
func (f *configFolder) close() { f.folder.Close() }
