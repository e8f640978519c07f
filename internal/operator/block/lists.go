package block

import (
	"fmt"

	"github.com/zclconf/go-cty/cty"
)

// Strings reads a list of strings of at most maxBytes bytes each; nil if it is absent. An empty
// list is not nil.
func (b *Block) Strings(field string, maxBytes int) []string {
	if !b.Has(field) {
		return nil
	}
	texts := []string{}
	for _, element := range b.elements(field) {
		if text, ok := b.element(field, element, maxBytes); ok {
			texts = append(texts, text)
		}
	}
	return texts
}

// elements returns the values of a list.
func (b *Block) elements(field string) []cty.Value {
	value, ok := b.evaluate(field)
	if !ok {
		return nil
	}
	if value.IsNull() || !value.IsKnown() || !value.Type().IsTupleType() {
		b.AddProblem(field, "is no list")
		return nil
	}
	return value.AsValueSlice()
}

// StringMap reads strings by name, of at most maxBytes bytes each; nil if it is absent.
func (b *Block) StringMap(field string, maxBytes int) map[string]string {
	value, ok := b.evaluate(field)
	if !ok {
		return nil
	}
	if value.IsNull() || !value.IsKnown() || !value.Type().IsObjectType() {
		b.AddProblem(field, `is no list of names and texts, such as { team = "\"a\"" }`)
		return nil
	}
	texts := map[string]string{}
	for name, element := range value.AsValueMap() {
		if text, ok := b.element(field, element, maxBytes); ok {
			texts[name] = text
		}
	}
	return texts
}

// element returns one string of a list or map.
func (b *Block) element(field string, value cty.Value, maxBytes int) (text string, ok bool) {
	if value.IsNull() || !value.IsKnown() || !value.Type().Equals(cty.String) {
		b.AddProblem(field, "holds something that is no text in quotes")
		return "", false
	}
	text = value.AsString()
	if len(text) > maxBytes {
		b.AddProblem(field, fmt.Sprintf("holds a text of over %d bytes", maxBytes))
		return "", false
	}
	return text, true
}
