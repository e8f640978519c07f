package block

import (
	"fmt"

	"github.com/zclconf/go-cty/cty"
)

// Strings reads a list of strings of at most maxBytes bytes each. It returns nil if the field is
// absent, and an empty list that is not nil if the list is empty or can't be used.
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

// elements returns the elements of a list.
func (b *Block) elements(field string) []cty.Value {
	value, ok := b.evaluate(field)
	if !ok {
		return nil
	}
	if value.IsNull() || !value.IsKnown() || !value.Type().IsTupleType() {
		b.AddProblem(field, "is not a list")
		return nil
	}
	return value.AsValueSlice()
}

// StringMap reads a map of strings of at most maxBytes bytes each; nil if the field is absent or is
// not a map.
func (b *Block) StringMap(field string, maxBytes int) map[string]string {
	value, ok := b.evaluate(field)
	if !ok {
		return nil
	}
	if value.IsNull() || !value.IsKnown() || !value.Type().IsObjectType() {
		b.AddProblem(field, `is not a map of names to texts, such as { team = "\"a\"" }`)
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

// element returns one element of a list or map as a string. ok is false if it can't be used.
func (b *Block) element(field string, value cty.Value, maxBytes int) (text string, ok bool) {
	if value.IsNull() || !value.IsKnown() || !value.Type().Equals(cty.String) {
		b.AddProblem(field, "has an element that is not text in quotes")
		return "", false
	}
	text = value.AsString()
	if len(text) > maxBytes {
		b.AddProblem(field, fmt.Sprintf("has an element of over %d bytes", maxBytes))
		return "", false
	}
	return text, true
}
