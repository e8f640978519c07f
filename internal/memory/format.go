package memory

import (
	"errors"
	"math"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"mintkeel/internal/store/snapshots"
	"mintkeel/router"
)

// Bounds on the records that are decoded; see FileBounds for those of a file.
const (
	maxSectionRecords = 1024 // records of a section, read or written
	maxPoolLeaders    = 64   // of a table group, which has one for each machine kind
	maxTextBytes      = 256  // bytes of a name or id
)

// errForeignContent means that a section with a valid checksum has content that this program does
// not write.
var errForeignContent = errors.New("has content that this program does not write")

// Kinds of sections.
const (
	sectionHeader snapshots.SectionKind = 1 + iota
	sectionEngines
	sectionTables
	sectionClasses
	sectionTraffic
)

// The forms in which statistics are stored and sent to other controllers. Each is encoded as a CBOR
// array of its fields in this order: a change of any of them needs a new snapshots.Version. Some
// fields keep older terms; the functions new...Form and record are the only place that maps these
// to the terms of package router. Times are whole ms since 1970, except for an engine's start time,
// which has to equal the one in the endpoint list.
type (
	headerForm struct {
		_        struct{} `cbor:",toarray"`
		Name     string   // of the controller
		Settings uint64   // hash of the controller's settings
		Taken    int64    // when the first part was copied
		Build    string   // version of the program, for people
	}
	meanForm struct {
		_            struct{} `cbor:",toarray"`
		Mean, Weight float32
	}
	engineForm struct {
		_        struct{} `cbor:",toarray"`
		At       int64
		Engine   string
		Since    float64  // router: StartedAt
		Pace     meanForm // router: Slowdown
		Width    float32  // router: ThreadsPerCore
		Outcomes uint8
		Lead     string // router: PoolLeader
	}
	tableForm struct {
		_      struct{} `cbor:",toarray"`
		At     int64
		Tables int64
		Demand float32
		Held   float32  // router: MemoryTime
		Homes  []string // router: PoolLeaders
	}
	classForm struct {
		_         struct{} `cbor:",toarray"`
		At        int64
		Profile   int64   // router: Class
		FullLeft  float32 // router: FirstTryTimeout
		Best      float32 // router: UnloadedTime
		WorkScale meanForm
		NeedScale meanForm // router: MemoryScale
	}
	trafficForm struct {
		_    struct{} `cbor:",toarray"`
		At   int64
		Part meanForm // router: Share
	}
)

var (
	encoder = must(cbor.EncOptions{ShortestFloat: cbor.ShortestFloat16}.EncMode())
	decoder = must(cbor.DecOptions{
		MaxArrayElements: maxSectionRecords,
		MaxMapPairs:      16,
		MaxNestedLevels:  6,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode())
)

func must[T any](mode T, err error) T {
	if err != nil {
		panic(err) // the options above are constants
	}
	return mode
}

func newMeanForm(m router.WeightedMean) meanForm {
	return meanForm{Mean: float32(m.Mean), Weight: float32(m.Weight)}
}

func (f meanForm) mean() router.WeightedMean {
	return router.WeightedMean{Mean: float64(f.Mean), Weight: float64(f.Weight)}
}

func newEngineForm(e router.EngineStatistics) engineForm {
	return engineForm{
		At:       int64(e.At),
		Engine:   string(e.Engine),
		Since:    e.StartedAt,
		Pace:     newMeanForm(e.Slowdown),
		Width:    float32(e.ThreadsPerCore),
		Outcomes: e.Outcomes,
		Lead:     string(e.PoolLeader),
	}
}

func (f engineForm) record() (r router.EngineStatistics, ok bool) {
	r = router.EngineStatistics{
		At:             float64(f.At),
		Engine:         router.EngineID(f.Engine),
		StartedAt:      f.Since,
		Slowdown:       f.Pace.mean(),
		ThreadsPerCore: float64(f.Width),
		Outcomes:       f.Outcomes,
		PoolLeader:     router.EngineID(f.Lead),
	}
	return r, len(f.Engine) <= maxTextBytes && len(f.Lead) <= maxTextBytes
}

func newTableForm(t router.TableStatistics) tableForm {
	return tableForm{
		At:     int64(t.At),
		Tables: int64(t.Tables),
		Demand: float32(t.Demand),
		Held:   float32(t.MemoryTime),
		Homes:  convertIDs[string](t.PoolLeaders),
	}
}

func (f tableForm) record() (r router.TableStatistics, ok bool) {
	r = router.TableStatistics{
		At:          float64(f.At),
		Tables:      router.TableGroup(f.Tables),
		Demand:      float64(f.Demand),
		MemoryTime:  float64(f.Held),
		PoolLeaders: convertIDs[router.EngineID](f.Homes),
	}
	isTooLong := func(id string) bool { return len(id) > maxTextBytes }
	return r, len(f.Homes) <= maxPoolLeaders && !slices.ContainsFunc(f.Homes, isTooLong)
}

func newClassForm(c router.ClassStatistics) classForm {
	return classForm{
		At:        int64(c.At),
		Profile:   int64(c.Class),
		FullLeft:  float32(c.FirstTryTimeout),
		Best:      float32(c.UnloadedTime),
		WorkScale: newMeanForm(c.WorkScale),
		NeedScale: newMeanForm(c.MemoryScale),
	}
}

func (f classForm) record() (r router.ClassStatistics, ok bool) {
	r = router.ClassStatistics{
		At:              float64(f.At),
		Class:           router.ClassID(f.Profile),
		FirstTryTimeout: float64(f.FullLeft),
		UnloadedTime:    float64(f.Best),
		WorkScale:       f.WorkScale.mean(),
		MemoryScale:     f.NeedScale.mean(),
	}
	return r, f.Profile >= 0 && f.Profile <= math.MaxInt32
}

func newTrafficForm(t router.TrafficStatistics) trafficForm {
	return trafficForm{At: int64(t.At), Part: newMeanForm(t.Share)}
}

func (f trafficForm) record() (r router.TrafficStatistics, ok bool) {
	return router.TrafficStatistics{At: float64(f.At), Share: f.Part.mean()}, true
}

// convertIDs converts ids to strings and back.
func convertIDs[To, From ~string](from []From) []To {
	converted := make([]To, len(from))
	for i, text := range from {
		converted[i] = To(text)
	}
	return converted
}
