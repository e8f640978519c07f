package memory

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"mintkeel/internal/core/restore"
	"mintkeel/internal/store/snapshots"
	"mintkeel/router"
)

// The forms in which records are kept: CBOR arrays, a field a place. A change of any of them is a new
// snapshots.Version. Times are whole ms since 1970, but for an engine's start, which must compare as it was told.
type (
	headForm struct {
		_        struct{} `cbor:",toarray"`
		Name     string
		Settings uint64
		Taken    int64  // when the first part was taken out
		Build    string // of the program that wrote it, for people
	}
	weighedForm struct {
		_            struct{} `cbor:",toarray"`
		Mean, Weight float32
	}
	engineForm struct {
		_        struct{} `cbor:",toarray"`
		At       int64
		Engine   string
		Since    float64
		Pace     weighedForm
		Width    float32
		Outcomes uint8
		Lead     string
	}
	tablesForm struct {
		_      struct{} `cbor:",toarray"`
		At     int64
		Tables int64
		Demand float32
		Held   float32
		Homes  []string
	}
	profileForm struct {
		_         struct{} `cbor:",toarray"`
		At        int64
		Profile   int64
		FullLeft  float32
		Best      float32
		WorkScale weighedForm
		NeedScale weighedForm
	}
	trafficForm struct {
		_    struct{} `cbor:",toarray"`
		At   int64
		Part weighedForm
	}
)

// The kinds of sections.
const (
	sectionHead snapshots.Kind = 1 + iota
	sectionEngines
	sectionTables
	sectionProfiles
	sectionTraffic
)

// mostRecords is that of one section: a section that claims more is no section of ours.
const mostRecords = 1024

// mostHomes bounds those of a table group, which has one for each kind of engine.
const mostHomes = 64

func homely(homes []string) bool {
	return len(homes) <= mostHomes && !slices.ContainsFunc(homes, func(id string) bool { return len(id) > mostText })
}

// mostText bounds names and ids in what is read.
const mostText = 256

var (
	encoder = must(cbor.EncOptions{ShortestFloat: cbor.ShortestFloat16}.EncMode())
	decoder = must(cbor.DecOptions{MaxArrayElements: mostRecords, MaxMapPairs: 16, MaxNestedLevels: 6,
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.DecMode())
)

func must[T any](mode T, err error) T {
	if err != nil {
		panic(err) // the options above are constants
	}
	return mode
}

func weighed(w router.WeightedMean) weighedForm {
	return weighedForm{Mean: float32(w.Mean), Weight: float32(w.Weight)}
}

func (w weighedForm) record() router.WeightedMean {
	return router.WeightedMean{Mean: float64(w.Mean), Weight: float64(w.Weight)}
}

func texts[T ~string](ids []T) []string {
	out := make([]string, len(ids))
	for i, id := range ids {
		out[i] = string(id)
	}
	return out
}

func ids[T ~string](texts []string) []T {
	out := make([]T, len(texts))
	for i, text := range texts {
		out[i] = T(text)
	}
	return out
}

// encode hands the sections of a part to add.
func encode(part *router.Statistics, add func(snapshots.Kind, []byte) error) error {
	return errors.Join(
		section(sectionEngines, part.Engines, add, func(e router.EngineStatistics) engineForm {
			return engineForm{At: int64(e.At), Engine: string(e.Engine), Since: e.StartedAt, Pace: weighed(e.Slowdown),
				Width: float32(e.ThreadsPerCore), Outcomes: e.Outcomes, Lead: string(e.PoolLeader)}
		}),
		section(sectionTables, part.Tables, add, func(t router.TableStatistics) tablesForm {
			return tablesForm{At: int64(t.At), Tables: int64(t.Tables), Demand: float32(t.Demand),
				Held: float32(t.MemoryTime), Homes: texts(t.PoolLeaders)}
		}),
		section(sectionProfiles, part.Classes, add, func(p router.ClassStatistics) profileForm {
			return profileForm{At: int64(p.At), Profile: int64(p.Class), FullLeft: float32(p.FirstTryTimeout),
				Best: float32(p.UnloadedTime), WorkScale: weighed(p.WorkScale), NeedScale: weighed(p.MemoryScale)}
		}),
		section(sectionTraffic, part.Traffic, add, func(t router.TrafficStatistics) trafficForm {
			return trafficForm{At: int64(t.At), Part: weighed(t.Share)}
		}))
}

func section[R, F any](kind snapshots.Kind, records []R, add func(snapshots.Kind, []byte) error,
	form func(R) F) error {
	for len(records) > 0 {
		some := records[:min(len(records), mostRecords)]
		records = records[len(some):]
		forms := make([]F, len(some))
		for i, r := range some {
			forms[i] = form(r)
		}
		payload, err := encoder.Marshal(forms)
		if err == nil {
			err = add(kind, payload)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// Pack is what was learned as one value, for another controller: the same sections as in a file, one behind another.
func Pack(l *router.Statistics) ([]byte, error) {
	var sections []packed
	err := encode(l, func(kind snapshots.Kind, payload []byte) error {
		sections = append(sections, packed{Kind: uint16(kind), Payload: payload})
		return nil
	})
	if err != nil {
		return nil, err
	}
	return encoder.Marshal(sections)
}

type packed struct {
	_       struct{} `cbor:",toarray"`
	Kind    uint16
	Payload []byte
}

// Unpack reads what another controller packed; what has a wrong form is an error, and nothing of it is used.
func Unpack(data []byte) (router.Statistics, error) {
	var sections []packed
	if err := decoder.Unmarshal(data, &sections); err != nil {
		return router.Statistics{}, fmt.Errorf("%w: %w", errForm, err)
	}
	kept := &Kept{}
	for _, s := range sections {
		if kept.Memory.Learned.Len() > mostKept {
			return router.Statistics{}, errMany
		}
		if err := decode(snapshots.Section{Kind: snapshots.Kind(s.Kind), Payload: s.Payload}, kept); err != nil {
			return router.Statistics{}, err
		}
	}
	return kept.Memory.Learned, nil
}

// errForm is a section whose checksum is right and whose content is not: written by another program.
var errForm = errors.New("holds what this program did not write")

// decode adds the records of one section to a memory. Sections of kinds that aren't known are passed over.
func decode(s snapshots.Section, into *Kept) error {
	l := &into.Memory.Learned
	switch s.Kind {
	case sectionHead:
		var h headForm
		if err := decoder.Unmarshal(s.Payload, &h); err != nil || len(h.Name) > mostText || len(h.Build) > mostText {
			return fmt.Errorf("%w: its head", errForm)
		}
		into.Memory.Of = restore.Identity{Name: h.Name, Settings: h.Settings}
		into.Taken, into.Build, into.head = float64(h.Taken), h.Build, true
		return nil
	case sectionEngines:
		return records(s, &l.Engines, func(e engineForm) (router.EngineStatistics, bool) {
			return router.EngineStatistics{At: float64(e.At), Engine: router.EngineID(e.Engine), StartedAt: e.Since,
				Slowdown: e.Pace.record(), ThreadsPerCore: float64(e.Width), Outcomes: e.Outcomes,
				PoolLeader: router.EngineID(e.Lead)}, len(e.Engine) <= mostText && len(e.Lead) <= mostText
		})
	case sectionTables:
		return records(s, &l.Tables, func(t tablesForm) (router.TableStatistics, bool) {
			return router.TableStatistics{At: float64(t.At), Tables: router.TableGroup(t.Tables),
				Demand: float64(t.Demand), MemoryTime: float64(t.Held), PoolLeaders: ids[router.EngineID](t.Homes)}, homely(t.Homes)
		})
	case sectionProfiles:
		return records(s, &l.Classes, func(p profileForm) (router.ClassStatistics, bool) {
			return router.ClassStatistics{At: float64(p.At), Class: router.ClassID(p.Profile),
				FirstTryTimeout: float64(p.FullLeft), UnloadedTime: float64(p.Best), WorkScale: p.WorkScale.record(),
				MemoryScale: p.NeedScale.record()}, p.Profile >= 0 && p.Profile <= math.MaxInt32
		})
	case sectionTraffic:
		return records(s, &l.Traffic, func(t trafficForm) (router.TrafficStatistics, bool) {
			return router.TrafficStatistics{At: float64(t.At), Share: t.Part.record()}, true
		})
	}
	return nil
}

func records[R, F any](s snapshots.Section, into *[]R, record func(F) (R, bool)) error {
	var forms []F
	if err := decoder.Unmarshal(s.Payload, &forms); err != nil {
		return fmt.Errorf("%w: section of kind %d: %w", errForm, s.Kind, err)
	}
	for _, f := range forms {
		r, ok := record(f)
		if !ok {
			return fmt.Errorf("%w: section of kind %d", errForm, s.Kind)
		}
		*into = append(*into, r)
	}
	return nil
}
