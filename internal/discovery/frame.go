package discovery

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"

	"mintkeel/internal/settings"
	"mintkeel/router"
)

// ErrMalformed is wrapped by errors about malformed frames.
var ErrMalformed = errors.New("malformed frame")

// A frame consists, in network byte order, of the length of the rest (4 bytes), the number of an
// update (8 bytes), a kind (1 byte) and records of engines.
const (
	frameLengthBytes = 4
	frameHeadBytes   = frameLengthBytes + 8 + 1
)

// Kinds of frames.
const (
	frameUnchanged = 0 // no change since the update with this number; the frame has no records
	frameComplete  = 1 // the records are those of all engines
	frameChanges   = 2 // the records are those of engines that have changed
)

// Offsets of the fields in a record, which are in network byte order.
const (
	recordEngine    = 0  // 4 bytes: the number of the engine
	recordIP        = 4  // 4 bytes
	recordPort      = 8  // 2 bytes
	recordState     = 10 // 1 byte: a router.EngineState
	recordZone      = 11 // 1 byte: index into the settings' zones
	recordKind      = 12 // 1 byte: index into the settings' machine kinds
	recordCell      = 13 // 2 bytes, followed by 4 unused bytes
	recordStartedAt = 19 // 8 bytes: ms since 1970
	recordBytes     = 27
)

// ReadFrame reads one frame, of at most maxBytes after the length field. changed is false if the
// frame says that nothing has changed; update then has only a number.
func ReadFrame(
	r *bufio.Reader, maxBytes int, names *settings.Names,
) (update Update, changed bool, err error) {
	head, err := r.Peek(frameHeadBytes)
	if err != nil {
		return Update{}, false, err
	}
	length := int(binary.BigEndian.Uint32(head))
	update.Number = binary.BigEndian.Uint64(head[frameLengthBytes:])
	kind := head[frameHeadBytes-1]
	update.Complete = kind == frameComplete
	size := length - (frameHeadBytes - frameLengthBytes) // of the records
	if length > maxBytes || size < 0 || kind > frameChanges || size%recordBytes != 0 ||
		kind == frameUnchanged && size != 0 {
		return update, false, fmt.Errorf("%w: length %d, kind %d", ErrMalformed, length, kind)
	}
	r.Discard(frameHeadBytes)
	record := make([]byte, recordBytes)
	for range size / recordBytes {
		if _, err := io.ReadFull(r, record); err != nil {
			return update, false, err
		}
		endpoint, err := parseRecord(record, names)
		if err != nil {
			return update, false, err
		}
		update.Endpoints = append(update.Endpoints, endpoint)
	}
	return update, kind != frameUnchanged, nil
}

// parseRecord parses the record of one engine. A zone or machine kind that the settings don't
// define becomes a value that no query class is bound to.
func parseRecord(b []byte, names *settings.Names) (Endpoint, error) {
	state := b[recordState]
	if state > byte(router.Gone) {
		return Endpoint{}, fmt.Errorf("%w: state %d", ErrMalformed, state)
	}
	var endpoint Endpoint
	endpoint.Engine = router.EngineID(fmt.Sprintf("s-%08x", binary.BigEndian.Uint32(b[recordEngine:])))
	port := strconv.Itoa(int(binary.BigEndian.Uint16(b[recordPort:])))
	endpoint.Address = net.JoinHostPort(net.IP(b[recordIP:recordPort]).String(), port)
	endpoint.State = router.EngineState(state)
	endpoint.Kind = -1
	if kind := int(b[recordKind]); kind < len(names.MachineKindAt) {
		endpoint.Kind = router.KindID(kind)
	}
	zone := int(b[recordZone])
	endpoint.Zone = router.Zone(fmt.Sprint("#", zone))
	if zone < len(names.ZoneAt) {
		endpoint.Zone = router.Zone(names.ZoneAt[zone])
	}
	endpoint.Cell = router.CellID(binary.BigEndian.Uint16(b[recordCell:]))
	endpoint.StartedAt = float64(binary.BigEndian.Uint64(b[recordStartedAt:]))
	return endpoint, nil
}
