package records

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"mintkeel/internal/store/disk"
)

// Ends of a file, which readFile does not return as errors.
var (
	errEndOfFile = errors.New("end of the file")
	errTornTail  = errors.New("torn tail")
)

// logFile is a file of the log in a directory.
type logFile struct {
	name   string
	number uint64
}

// readFile reads the records of a file. tornTail means that the last one is torn and left out. The
// size of the file is subtracted from bytesLeft; the result must not be negative.
func readFile(
	d disk.Disk, file logFile, b Bounds, bytesLeft *int64,
) (records [][]byte, tornTail bool, err error) {
	in, err := d.Open(file.name)
	if err != nil {
		return nil, false, err
	}
	defer in.Close()
	size, err := in.Size()
	if err != nil {
		return nil, false, err
	}
	*bytesLeft -= size
	if *bytesLeft < 0 {
		return nil, false, &FileError{file.name, noRecord, ErrTooLarge}
	}
	r := &reader{
		in:        bufio.NewReader(io.LimitReader(in, size)),
		file:      file,
		size:      size,
		maxRecord: b.Record,
	}
	err = r.readHeader()
	for err == nil {
		var payload []byte
		payload, err = r.readRecord()
		if err == nil {
			records = append(records, payload)
		}
	}
	switch {
	case errors.Is(err, errEndOfFile):
		return records, false, nil
	case errors.Is(err, errTornTail):
		return records, true, nil
	}
	return nil, false, err
}

// reader reads one file.
type reader struct {
	in        *bufio.Reader
	file      logFile
	size      int64 // bytes of the file
	offset    int64 // bytes read so far
	maxRecord int   // maximum bytes of a payload
	records   int   // number read so far
}

func (r *reader) readHeader() error {
	header := make([]byte, headerBytes)
	_, err := io.ReadFull(r.in, header)
	if isTruncation(err) {
		return errTornTail
	}
	if err != nil {
		return err
	}
	r.offset = int64(headerBytes)
	switch {
	case bytes.Equal(header, appendHeader(nil, r.file.number)):
		return nil
	case isZeros(header):
		// The header is written together with the first record: this write was lost, and no Append
		// to the file had returned.
		return errTornTail
	}
	return &FileError{r.file.name, noRecord, fmt.Errorf("header %w", ErrDamaged)}
}

// readRecord returns the next record's payload, or errEndOfFile, errTornTail or another error.
func (r *reader) readRecord() ([]byte, error) {
	header := make([]byte, recordHeaderBytes)
	_, err := io.ReadFull(r.in, header)
	switch {
	case err == io.EOF:
		return nil, errEndOfFile
	case isTruncation(err):
		return nil, errTornTail
	case err != nil:
		return nil, err
	}
	length := int64(binary.BigEndian.Uint32(header))
	r.offset += int64(recordHeaderBytes)
	if length > int64(r.maxRecord) {
		return nil, r.damagedError()
	}
	if r.offset+length > r.size {
		return nil, errTornTail
	}
	payload := make([]byte, length)
	if _, err := io.ReadFull(r.in, payload); err != nil {
		return nil, err
	}
	r.offset += length
	checksum := binary.BigEndian.Uint64(header[recordHeaderBytes-checksumBytes:])
	if checksum != recordChecksum(r.file.number, uint64(r.records), payload) {
		return nil, r.classifyMismatch(header, payload)
	}
	r.records++
	return payload, nil
}

// classifyMismatch returns the error of a record with a wrong checksum: errTornTail for a torn
// write, else that of a damaged file. A torn write is at the end of the file, or is all zeros up to
// the end, which a file system leaves where it had allocated blocks for a write that it lost.
func (r *reader) classifyMismatch(header, payload []byte) error {
	rest, err := io.ReadAll(r.in) // bounded by the file's size
	if err != nil {
		return err
	}
	isLast := r.offset == r.size
	if isLast || isZeros(header) && isZeros(payload) && isZeros(rest) {
		return errTornTail
	}
	return r.damagedError()
}

func (r *reader) damagedError() error { return &FileError{r.file.name, r.records, ErrDamaged} }

func isZeros(b []byte) bool { return len(bytes.Trim(b, "\x00")) == 0 }

// isTruncation reports whether a read failed because the file is too short.
func isTruncation(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}
