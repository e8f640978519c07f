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

// storage stores the quorum's records of a session. It belongs to the session's goroutine; one
// goroutine of its own writes, so that a disk that hangs holds up the quorum's part of this
// controller, and nothing else.
type storage struct {
	log     *records.Log
	writes  chan writeRequest // has room for the one write that is out at a time
	results chan writeResult  // of the write that is out
	writing bool              // a write is out
}

// writeRequest is a record to be made durable. One of batch and compaction is set.
type writeRequest struct {
	payload    []byte
	replace    bool           // the record takes the place of the whole log
	batch      *quorum.Ready  // the batch that goes on once the record is durable
	compaction *quorum.Record // the record, if it is one that takes the place of older ones
}

// writeResult is how a write ended.
type writeResult struct {
	writeRequest
	err error
}

// recordDecoder reads what this controller wrote itself; a record that replaces the log may have
// thousands of entries.
var recordDecoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 20, MaxNestedLevels: 8}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}()

// openStorage takes the folder for this process and reads the records from the last that replaced
// the others on. A damaged log counts as a lost one: the quorum then finds out what this controller
// had promised.
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
		log.Info("fleet: the last record was not written whole, and nothing was said on it")
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
	go s.write() // ends with close, or with the write that hangs
	return s, list, nil
}

// write makes records durable, one after another.
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

// begin has a record written. The core asks for one at a time.
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

// close lets the folder go once the last write is over. A write that hangs is left to the system:
// the folder stays locked by this process, so nobody takes it meanwhile.
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
