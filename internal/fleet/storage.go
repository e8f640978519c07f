package fleet

import (
	"fmt"
	"log/slog"

	"github.com/fxamacker/cbor/v2"

	"mintkeel/internal/core/fleet/quorum"
	"mintkeel/internal/fleet/faultinjection"
	"mintkeel/internal/store/disk"
	"mintkeel/internal/store/records"
)

// storage stores the quorum's records of a session. The session's goroutine owns it. A separate
// goroutine writes, so that a disk that hangs blocks only this controller's part in the quorum.
type storage struct {
	log     *records.Log
	writes  chan writeRequest // has room for one write; only one is in progress at a time
	results chan writeResult  // result of the write in progress
	writing bool              // a write is in progress
}

// writeRequest is a record to be made durable. Either batch or compaction is set.
type writeRequest struct {
	payload    []byte
	replace    bool           // the record replaces the whole log
	batch      *quorum.Ready  // passed to Advance once the record is durable
	compaction *quorum.Record // passed to Compacted once the record is durable
}

// writeResult is the result of a write.
type writeResult struct {
	writeRequest
	err error
}

// recordDecoder decodes records that this controller wrote itself. Its array bound is large because
// a record that replaces the log may have thousands of entries.
var recordDecoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 20, MaxNestedLevels: 8}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}()

// openStorage locks the folder for this process and returns its records, starting with the last one
// that replaced the log. A damaged log counts as lost: the quorum then finds out what this
// controller had promised.
func openStorage(folder disk.Disk, log *slog.Logger) (*storage, []quorum.Record, error) {
	stored, recovered, err := records.Open(folder, records.DefaultBounds())
	if stored == nil {
		return nil, nil, fmt.Errorf("folder: %w", err)
	}
	if err != nil {
		log.Error("fleet: what the quorum kept here can't be read: taking part as one that lost it",
			"why", err)
	}
	if recovered.TornTail {
		log.Info("fleet: last record was written incompletely; no message depended on it")
	}
	list := make([]quorum.Record, 0, len(recovered.Records))
	for i, payload := range recovered.Records {
		var record quorum.Record
		if err := recordDecoder.Unmarshal(payload, &record); err != nil {
			return nil, nil, fmt.Errorf("record %d: %w", i, err)
		}
		if record.Full {
			list = list[:0]
		}
		list = append(list, record)
	}
	s := &storage{log: stored, writes: make(chan writeRequest, 1), results: make(chan writeResult, 1)}
	go s.write() // ends after close, once a write that hangs has returned
	return s, list, nil
}

// write writes the requested records one at a time.
func (s *storage) write() {
	for request := range s.writes {
		s.results <- writeResult{request, s.writeRecord(request)}
	}
}

func (s *storage) writeRecord(request writeRequest) error {
	if err := faultinjection.BeforeWrite(); err != nil {
		return err
	}
	if request.replace {
		return s.log.Replace(request.payload)
	}
	return s.log.Append(request.payload)
}

// begin starts writing a record. The core requests one write at a time.
func (s *storage) begin(request writeRequest, record *quorum.Record) error {
	payload, err := cbor.Marshal(record)
	if err != nil {
		return err
	}
	request.payload = payload
	s.writing = true
	s.writes <- request
	return nil
}

// close unlocks the folder once the last write has ended. It does not wait for a write that hangs:
// the folder stays locked by this process until then, so that no other process opens it.
func (s *storage) close() {
	close(s.writes)
	if !s.writing {
		s.log.Close()
		return
	}
	go func() {
		<-s.results
		s.log.Close()
	}()
}
