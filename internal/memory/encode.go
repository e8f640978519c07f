package memory

import (
	"mintkeel/internal/store/snapshots"
	"mintkeel/router"
)

func encodeHeader(header headerForm, add snapshots.AddFunc) error {
	payload, err := encoder.Marshal(header)
	if err != nil {
		return err
	}
	return add(sectionHeader, payload)
}

// encodeRecords adds all records, in as few sections of each kind as possible.
func encodeRecords(s *router.Statistics, add snapshots.AddFunc) error {
	if err := addRecords(sectionEngines, s.Engines, newEngineForm, add); err != nil {
		return err
	}
	if err := addRecords(sectionTables, s.Tables, newTableForm, add); err != nil {
		return err
	}
	if err := addRecords(sectionClasses, s.Classes, newClassForm, add); err != nil {
		return err
	}
	return addRecords(sectionTraffic, s.Traffic, newTrafficForm, add)
}

func addRecords[R, F any](
	kind snapshots.SectionKind, records []R, newForm func(R) F, add snapshots.AddFunc,
) error {
	for len(records) > 0 {
		count := min(len(records), maxSectionRecords)
		forms := make([]F, count)
		for i, r := range records[:count] {
			forms[i] = newForm(r)
		}
		payload, err := encoder.Marshal(forms)
		if err != nil {
			return err
		}
		if err := add(kind, payload); err != nil {
			return err
		}
		records = records[count:]
	}
	return nil
}

// sectionForm is a section in a message to another controller, encoded as a CBOR array like the
// forms of records.
type sectionForm struct {
	_       struct{} `cbor:",toarray"`
	Kind    uint16
	Payload []byte
}

// EncodeStatistics encodes statistics as one value for another controller: a list of the sections
// that a file would have, without the header section.
func EncodeStatistics(s *router.Statistics) ([]byte, error) {
	var sections []sectionForm
	err := encodeRecords(s, func(kind snapshots.SectionKind, payload []byte) error {
		sections = append(sections, sectionForm{Kind: uint16(kind), Payload: payload})
		return nil
	})
	if err != nil {
		return nil, err
	}
	return encoder.Marshal(sections)
}
