package discovery

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"reflect"
	"testing"

	"mintkeel/internal/settings"
	"mintkeel/router"
)

// names are the names that the settings define.
var names = &settings.Names{
	MachineKinds:  map[string]router.KindID{"std": 0, "big": 1},
	MachineKindAt: []string{"std", "big"},
	ZoneAt:        []string{"east", "west"},
}

// frame encodes a frame of records.
func frame(number uint64, kind byte, records ...[]byte) []byte {
	payload := bytes.Join(records, nil)
	b := binary.BigEndian.AppendUint32(nil, uint32(9+len(payload)))
	return append(append(binary.BigEndian.AppendUint64(b, number), kind), payload...)
}

// record encodes an engine at 10.1.0.9:8443 in cell 2.
func record(id uint32, state, zone, kind byte) []byte {
	b := append(binary.BigEndian.AppendUint32(nil, id), 10, 1, 0, 9)
	b = append(binary.BigEndian.AppendUint16(b, 8443), state, zone, kind)
	b = append(binary.BigEndian.AppendUint16(b, 2), 0, 0, 15, 160)
	return binary.BigEndian.AppendUint64(b, 1700000000123)
}

var (
	testEndpoint = Endpoint{Address: "10.1.0.9:8443",
		Endpoint: router.Endpoint{Engine: "s-00c41f7a", Zone: "east", Cell: 2, StartedAt: 1700000000123}}
	completeFrame = frame(1, 1, record(0xc41f7a, 0, 0, 0))
)

// Each kind of frame is read as an update. A zone or machine kind that the settings do not define gets a
// placeholder value, and malformed input gets an error.
func TestReadFrame(t *testing.T) {
	draining := testEndpoint
	draining.State = router.Draining
	draining.Zone = "west"
	draining.Kind = 1
	unknown := testEndpoint
	unknown.Kind = -1
	unknown.Zone = "#5"
	for _, c := range []struct {
		name      string
		bytes     []byte
		want      []Endpoint
		changed   bool
		malformed bool
	}{
		{"unchanged", frame(3, 0), nil, false, false},
		{"complete", completeFrame, []Endpoint{testEndpoint}, true, false},
		{"changes", frame(2, 2, record(0xc41f7a, 1, 1, 1), record(0xc41f7a, 0, 5, 9)),
			[]Endpoint{draining, unknown}, true, false},
		{"changes of no engine", frame(2, 2), nil, true, false},
		{"unknown kind", frame(2, 3), nil, false, true},
		{"unknown state", frame(2, 2, record(1, 3, 0, 0)), nil, false, true},
		{"incomplete record", frame(2, 2, record(1, 0, 0, 0)[:20]), nil, false, true},
		{"unchanged, with a record", frame(2, 0, record(1, 0, 0, 0)), nil, false, true},
		{"too short", []byte{0, 0, 0, 8, 0, 0, 0, 0, 0, 0, 0, 1, 0}, nil, false, true},
		{"far too long", append([]byte{0xff, 0xff, 0xff, 0xff}, completeFrame[4:]...), nil, false, true},
		{"truncated", completeFrame[:30], nil, false, true},
	} {
		update, changed, err := ReadFrame(bufio.NewReader(bytes.NewReader(c.bytes)), 1000, names)
		if c.malformed != (err != nil) || !c.malformed && (changed != c.changed || !reflect.DeepEqual(update.Endpoints, c.want)) {
			t.Errorf("%s: got unexpected update %+v, changed %t, error %v", c.name, update, changed, err)
		}
	}
}

// ReadFrame panics on no input, and returns no more endpoints than the input has room for.
func FuzzFrame(f *testing.F) {
	f.Add(completeFrame)
	f.Add(frame(2, 2, record(1, 3, 0, 0)))
	f.Fuzz(func(t *testing.T, in []byte) {
		for r := bufio.NewReader(bytes.NewReader(in)); ; {
			update, _, err := ReadFrame(r, 1000, names)
			if err != nil {
				return
			}
			if len(update.Endpoints) > len(in)/recordBytes {
				t.Fatalf("got %d endpoints from %d bytes of input", len(update.Endpoints), len(in))
			}
		}
	})
}
