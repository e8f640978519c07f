package memory

import (
	"fmt"

	"mintkeel/internal/core/restore"
	"mintkeel/internal/store/snapshots"
	"mintkeel/router"
)

// recordForm is the stored form of a record of type R. ok is false if the record exceeds a bound.
type recordForm[R any] interface {
	record() (r R, ok bool)
}

// decodeSection adds the content of one section to a snapshot. Sections of unknown kinds are
// ignored.
func decodeSection(section snapshots.Section, into *StoredSnapshot) error {
	statistics := &into.Snapshot.Statistics
	switch section.Kind {
	case sectionHeader:
		return decodeHeader(section, into)
	case sectionEngines:
		return decodeRecords[engineForm](section, &statistics.Engines)
	case sectionTables:
		return decodeRecords[tableForm](section, &statistics.Tables)
	case sectionClasses:
		return decodeRecords[classForm](section, &statistics.Classes)
	case sectionTraffic:
		return decodeRecords[trafficForm](section, &statistics.Traffic)
	}
	return nil
}

func decodeHeader(section snapshots.Section, into *StoredSnapshot) error {
	var header headerForm
	err := decoder.Unmarshal(section.Payload, &header)
	if err != nil || len(header.Name) > maxTextBytes || len(header.Build) > maxTextBytes {
		return fmt.Errorf("%w: header section", errForeignContent)
	}
	into.Snapshot.Owner = restore.Identity{Name: header.Name, Settings: header.Settings}
	into.TakenAt = float64(header.Taken)
	into.Build = header.Build
	into.hasHeader = true
	return nil
}

// decodeRecords appends the records of a section, up to the first one that exceeds the bounds.
func decodeRecords[F recordForm[R], R any](section snapshots.Section, into *[]R) error {
	var forms []F
	if err := decoder.Unmarshal(section.Payload, &forms); err != nil {
		return fmt.Errorf("%w: section of kind %d: %w", errForeignContent, section.Kind, err)
	}
	for _, form := range forms {
		record, ok := form.record()
		if !ok {
			return fmt.Errorf("%w: section of kind %d", errForeignContent, section.Kind)
		}
		*into = append(*into, record)
	}
	return nil
}

// DecodeStatistics decodes what EncodeStatistics returned on another controller. If any part of it
// is invalid, it returns an error and no statistics.
func DecodeStatistics(data []byte) (router.Statistics, error) {
	var sections []sectionForm
	if err := decoder.Unmarshal(data, &sections); err != nil {
		return router.Statistics{}, fmt.Errorf("%w: %w", errForeignContent, err)
	}
	decoded := &StoredSnapshot{}
	for _, s := range sections {
		if decoded.Snapshot.Statistics.Len() > maxFileRecords {
			return router.Statistics{}, errTooManyRecords
		}
		section := snapshots.Section{Kind: snapshots.SectionKind(s.Kind), Payload: s.Payload}
		if err := decodeSection(section, decoded); err != nil {
			return router.Statistics{}, err
		}
	}
	return decoded.Snapshot.Statistics, nil
}
