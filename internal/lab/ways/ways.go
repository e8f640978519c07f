// Package ways weighs three ways of keeping what a controller learns: whole snapshots by rename, which is what the
// daemon does; a log of changes with compaction; and an embedded store. The latter two are here alone, to be measured
// against.
package ways

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/bbolt"

	"mintkeel/internal/store/disk"
	"mintkeel/internal/store/snapshots"
)

// State is what is kept: records by key, of which some change from one writing to the next.
type State struct {
	Records [][]byte
	Keys    []string
	changed []int
	rng     *rand.Rand
	zipf    *rand.Zipf
}

type record struct {
	_      struct{} `cbor:",toarray"`
	At     int64
	ID     string
	Mean   float32
	Weight float32
	Width  float32
	Home   string
}

// NewState is one of engines, table groups and profiles, each a record of the size that the daemon's have.
func NewState(engines, tables, profiles int, seed int64) *State {
	s := &State{rng: rand.New(rand.NewSource(seed))}
	for i := range engines {
		s.Keys = append(s.Keys, fmt.Sprintf("e%08x", i))
	}
	for i := range tables {
		s.Keys = append(s.Keys, fmt.Sprintf("t%08x", i))
	}
	for i := range profiles {
		s.Keys = append(s.Keys, fmt.Sprintf("p%08x", i))
	}
	s.Records = make([][]byte, len(s.Keys))
	for i := range s.Keys {
		s.touch(i)
	}
	s.zipf = rand.NewZipf(s.rng, 1.2, 20, uint64(len(s.Keys)-1))
	return s
}

func (s *State) touch(i int) {
	s.Records[i], _ = cbor.Marshal(record{At: time.Now().UnixMilli(), ID: s.Keys[i], Mean: s.rng.Float32(),
		Weight: s.rng.Float32(), Width: 2, Home: s.Keys[s.rng.Intn(len(s.Keys))]})
}

// Pass lets a second pass in which so many commands each change a few records: few are touched by many, many by few.
func (s *State) Pass(commands int) {
	seen := map[int]bool{}
	for range 2 * commands {
		if i := int(s.zipf.Uint64()); !seen[i] {
			seen[i] = true
			s.touch(i)
			s.changed = append(s.changed, i)
		}
	}
}

// Way keeps a state in a folder.
type Way interface {
	Name() string
	Keep(s *State) error // what has changed since the last time
	Close() error
	Back() (int, error) // how many records a new process finds
}

// Snapshots are the daemon's way.
type Snapshots struct {
	dir    string
	bounds snapshots.Bounds
	folder *snapshots.Folder
}

// NewSnapshots keeps whole states.
func NewSnapshots(dir string) (*Snapshots, error) {
	b := snapshots.Bounds{Section: 256 << 10, Sections: 1024, File: 8 << 20}
	f, err := snapshots.Open(disk.Folder(dir), b)
	return &Snapshots{dir, b, f}, err
}

func (w *Snapshots) Name() string { return "snapshots by rename" }
func (w *Snapshots) Close() error { return w.folder.Close() }

func (w *Snapshots) Keep(s *State) error {
	s.changed = s.changed[:0]
	_, err := w.folder.Write(func(add func(snapshots.SectionKind, []byte) error) error {
		for at := 0; at < len(s.Records); at += 1024 {
			some := s.Records[at:min(at+1024, len(s.Records))]
			var payload []byte
			for _, r := range some {
				payload = append(payload, r...)
			}
			if err := add(1, payload); err != nil {
				return err
			}
		}
		return nil
	})
	return err
}

func (w *Snapshots) Back() (n int, err error) {
	files, err := snapshots.Files(disk.Folder(w.dir))
	if err != nil || len(files) == 0 {
		return 0, err
	}
	_, err = snapshots.Read(disk.Folder(w.dir), files[0].Name, w.bounds, func(s snapshots.Section) error {
		d := cbor.NewDecoder(strings.NewReader(string(s.Payload)))
		for {
			var r record
			if err := d.Decode(&r); err == io.EOF {
				return nil
			} else if err != nil {
				return err
			}
			n++
		}
	})
	return n, err
}

// Log appends changes, each with a checksum, and writes all anew once the log is several times the state.
type Log struct {
	dir        string
	file       *os.File
	live, size int64
}

const compactAt = 4 // times the state

// NewLog begins a log.
func NewLog(dir string) (*Log, error) {
	f, err := os.OpenFile(filepath.Join(dir, "log"), os.O_CREATE|os.O_RDWR|os.O_TRUNC, 0o600)
	return &Log{dir: dir, file: f}, err
}

func (w *Log) Name() string { return "log of changes, compacted" }
func (w *Log) Close() error { return w.file.Close() }

func (w *Log) append(out io.Writer, r []byte) int64 {
	head := binary.BigEndian.AppendUint32(nil, uint32(len(r)))
	head = binary.BigEndian.AppendUint64(head, xxhash.Sum64(r))
	out.Write(head)
	out.Write(r)
	return int64(len(head) + len(r))
}

func (w *Log) Keep(s *State) error {
	if w.live == 0 || w.size > compactAt*w.live {
		return w.compact(s)
	}
	out := bufio.NewWriterSize(w.file, 64<<10)
	for _, i := range s.changed {
		w.size += w.append(out, s.Records[i])
	}
	s.changed = s.changed[:0]
	if err := out.Flush(); err != nil {
		return err
	}
	return w.file.Sync()
}

func (w *Log) compact(s *State) error {
	name := filepath.Join(w.dir, "log")
	f, err := os.Create(name + ".new")
	if err != nil {
		return err
	}
	out := bufio.NewWriterSize(f, 64<<10)
	w.size = 0
	for _, r := range s.Records {
		w.size += w.append(out, r)
	}
	s.changed, w.live = s.changed[:0], w.size
	if err := out.Flush(); err != nil {
		return err
	}
	if err := f.Sync(); err != nil {
		return err
	}
	w.file.Close()
	w.file = f
	return os.Rename(name+".new", name)
}

func (w *Log) Back() (int, error) {
	text, err := os.ReadFile(filepath.Join(w.dir, "log"))
	found := map[string]bool{}
	for len(text) > 12 {
		n := int(binary.BigEndian.Uint32(text))
		if len(text) < 12+n || xxhash.Sum64(text[12:12+n]) != binary.BigEndian.Uint64(text[4:]) {
			break
		}
		var r record
		if err := cbor.Unmarshal(text[12:12+n], &r); err != nil {
			return 0, err
		}
		found[r.ID] = true
		text = text[12+n:]
	}
	return len(found), err
}

// Store is an embedded store from the registry, a B+ tree with pages written in place behind a copy.
type Store struct{ db *bbolt.DB }

// NewStore opens one.
func NewStore(dir string) (*Store, error) {
	db, err := bbolt.Open(filepath.Join(dir, "store"), 0o600, &bbolt.Options{Timeout: time.Second})
	return &Store{db}, err
}

func (w *Store) Name() string { return "embedded store" }
func (w *Store) Close() error { return w.db.Close() }

var bucket = []byte("learned")

func (w *Store) Keep(s *State) error {
	return w.db.Update(func(tx *bbolt.Tx) error {
		b, err := tx.CreateBucketIfNotExists(bucket)
		if err != nil {
			return err
		}
		if b.Stats().KeyN == 0 {
			for i, key := range s.Keys {
				if err := b.Put([]byte(key), s.Records[i]); err != nil {
					return err
				}
			}
		}
		for _, i := range s.changed {
			if err := b.Put([]byte(s.Keys[i]), s.Records[i]); err != nil {
				return err
			}
		}
		s.changed = s.changed[:0]
		return nil
	})
}

func (w *Store) Back() (n int, err error) {
	err = w.db.View(func(tx *bbolt.Tx) error {
		return tx.Bucket(bucket).ForEach(func(_, v []byte) error {
			var r record
			n++
			return cbor.Unmarshal(v, &r)
		})
	})
	return n, err
}

// Result is what a way cost.
type Result struct {
	Name         string
	Pace         int     // s between two writings
	BytesAnHour  float64 // written
	MBOnDisk     float64
	WriteMS      float64 // by writing, off the loop
	BackMS       float64 // for a new process to read
	LostOnAKill  float64 // s of learning, on average
	RecordsFound int
}

// written is how many bytes this process has written, by the system's count.
func written() (int64, error) {
	text, err := os.ReadFile("/proc/self/io")
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "wchar: "); ok {
			return strconv.ParseInt(strings.TrimSpace(rest), 10, 64)
		}
	}
	return 0, fmt.Errorf("the system does not count what is written")
}

// Measure keeps a state for so many seconds of its time, of which none is waited for, at a pace in s.
func Measure(w Way, dir string, s *State, seconds, commands, pace int) (r Result, err error) {
	if err := w.Keep(s); err != nil {
		return r, err
	}
	before, err := written()
	if err != nil {
		return r, err
	}
	writes, spent := 0, time.Duration(0)
	for at := 1; at <= seconds; at++ {
		s.Pass(commands)
		if at%pace != 0 {
			continue
		}
		began := time.Now()
		if err := w.Keep(s); err != nil {
			return r, err
		}
		spent += time.Since(began)
		writes++
	}
	after, err := written()
	if err != nil {
		return r, err
	}
	r = Result{Name: w.Name(), Pace: pace, BytesAnHour: float64(after-before) / float64(seconds) * 3600,
		WriteMS: spent.Seconds() * 1000 / float64(max(1, writes)), LostOnAKill: float64(pace) / 2}
	entries, _ := os.ReadDir(dir)
	for _, e := range entries {
		if info, err := e.Info(); err == nil {
			r.MBOnDisk += float64(info.Size()) / (1 << 20)
		}
	}
	began := time.Now()
	r.RecordsFound, err = w.Back()
	r.BackMS = time.Since(began).Seconds() * 1000
	return r, err
}
