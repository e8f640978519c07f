package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"mintkeel/internal/lab/scale"
	"mintkeel/internal/lab/scale/slope"
)

// scaleRow is the JSON form of a row, with the values derived from its points.
type scaleRow struct {
	slope.Row
	Line     slope.Line `json:"line"`
	AtTarget float64    `json:"at_target"`
	Origin   string     `json:"origin"`
	Ratio    float64    `json:"ratio"`
}

// readScaleRows reads the rows of earlier runs from files that printScaleRows wrote as JSON.
func readScaleRows(paths []string) (rows []slope.Row, err error) {
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return rows, err
		}
		var some []slope.Row
		if err := json.Unmarshal(data, &some); err != nil {
			return rows, fmt.Errorf("%s: %w", path, err)
		}
		rows = append(rows, some...)
	}
	return rows, nil
}

// printScaleRows prints rows as a table or as JSON.
func printScaleRows(w io.Writer, rows []slope.Row, asJSON bool) error {
	if !asJSON {
		return scale.PrintTable(w, rows)
	}
	list := make([]scaleRow, len(rows))
	for i, row := range rows {
		value, _ := row.AtTarget()
		list[i] = scaleRow{
			Row:      row,
			Line:     row.Fit(),
			AtTarget: value,
			Origin:   row.Origin(),
			Ratio:    row.Ratio(),
		}
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(list)
}
