package rules

import (
	"mintkeel/match"
	"mintkeel/router"
)

// Query holds the properties of a query that rules may read.
type Query struct {
	Class             router.ClassID
	Tenant            string
	Schema, Table     string // of the table that the query names
	Tables            router.TableGroup
	OrderingKey       router.OrderingKey // as given by the client
	EstimatedWork     float64            // ms; 0: no estimate
	EstimatedMemoryMB float64            // 0: no estimate
	TimeLeft          float64            // ms until the client gives up
	Protocol          string             // client protocol
	Application       string             // the client's name for itself
	Listener          string             // the controller's address that the client connected to
	Labels            []match.Label
}

// Indexes of the fields in Schema and in a row of values.
const (
	fieldClass = iota
	fieldTenant
	fieldTableGroup
	fieldSchema
	fieldTable
	fieldOrderingKey
	fieldEstimatedWork
	fieldEstimatedMemory
	fieldTimeLeft
	fieldProtocol
	fieldApplication
	fieldListener
	fieldCount
)

// classField is the name of the field for the query class, the only one that rules may change.
const classField = "profile"

// Schema lists the fields that rules may read. This is the only place that maps their names in the
// operator's file.
var Schema = match.Schema{
	Fields: []match.Field{
		fieldClass:           {Name: classField, Type: match.Text, MaxBytes: maxFieldBytes},
		fieldTenant:          {Name: "tenant", Type: match.Text, MaxBytes: maxFieldBytes},
		fieldTableGroup:      {Name: "table_group", Type: match.Number},
		fieldSchema:          {Name: "schema", Type: match.Text, MaxBytes: maxFieldBytes},
		fieldTable:           {Name: "table_name", Type: match.Text, MaxBytes: maxFieldBytes},
		fieldOrderingKey:     {Name: "client_key", Type: match.Text, MaxBytes: maxKeyBytes},
		fieldEstimatedWork:   {Name: "estimate", Type: match.Duration},
		fieldEstimatedMemory: {Name: "memory_mb", Type: match.Number},
		fieldTimeLeft:        {Name: "left", Type: match.Duration},
		fieldProtocol:        {Name: "front", Type: match.Text, MaxBytes: 16},
		fieldApplication:     {Name: "application", Type: match.Text, MaxBytes: maxFieldBytes},
		fieldListener:        {Name: "listener", Type: match.Text, MaxBytes: maxFieldBytes},
	},
	MaxLabels:     maxLabels,
	MaxLabelBytes: maxTextBytes,
}

// changingFields lists the fields that may differ between a query and its client's retry.
var changingFields = []string{"estimate", "memory_mb", "left", "front", "application", "listener"}

// fill sets the values and labels of a scratch from a query.
func (s *Set) fill(q *Query, scratch *Scratch) {
	text := func(i int, x string) { scratch.values[i] = match.Value{Text: x, Present: x != ""} }
	number := func(i int, x float64) { scratch.values[i] = match.Value{Number: x, Present: x != 0} }
	scratch.values[fieldClass] = match.TextOf(s.facts.ClassNames[q.Class])
	scratch.values[fieldTableGroup] = match.NumberOf(float64(q.Tables))
	scratch.values[fieldTimeLeft] = match.NumberOf(q.TimeLeft)
	text(fieldTenant, q.Tenant)
	text(fieldSchema, q.Schema)
	text(fieldTable, q.Table)
	text(fieldOrderingKey, string(q.OrderingKey))
	number(fieldEstimatedWork, q.EstimatedWork)
	number(fieldEstimatedMemory, q.EstimatedMemoryMB)
	text(fieldProtocol, q.Protocol)
	text(fieldApplication, q.Application)
	text(fieldListener, q.Listener)
	scratch.labels = append(scratch.labels[:0], q.Labels...)
	if len(scratch.labels) > maxLabels {
		scratch.labels = scratch.labels[:maxLabels]
	}
}
