package settings

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Values are settings by key. A list of scalar values is joined by commas. A list of objects has
// its length under the list's key with the suffix ".count", and its items under ".0", ".1" and so
// on. An absent key stands for a zero value.
type Values map[string]string

// Hash returns a hash of all keys and values, which identifies the settings.
func (v Values) Hash() uint64 {
	digest := xxhash.New()
	for _, key := range slices.Sorted(maps.Keys(v)) {
		fmt.Fprintf(digest, "%q=%q\n", key, v[key])
	}
	return digest.Sum64()
}

// Flatten converts nested JSON to values.
func Flatten(nested map[string]any) Values {
	values := Values{}
	for key, item := range nested {
		values.flatten(key, item)
	}
	return values
}

// flatten sets the values of an item that has the key prefix.
func (v Values) flatten(prefix string, item any) {
	switch item := item.(type) {
	case map[string]any:
		for key, inner := range item {
			v.flatten(prefix+"."+key, inner)
		}
	case []any:
		v.flattenList(prefix, item)
	default:
		v[prefix] = plainText(item)
	}
}

func (v Values) flattenList(prefix string, items []any) {
	var plain []string
	for i, item := range items {
		_, isObject := item.(map[string]any)
		if isObject {
			v.flatten(fmt.Sprintf("%s.%d", prefix, i), item)
			v[prefix+".count"] = strconv.Itoa(i + 1)
			continue
		}
		plain = append(plain, strings.ReplaceAll(plainText(item), ",", "_")) // a comma separates items
	}
	v[prefix] = strings.Join(plain, ",")
}

func plainText(item any) string {
	switch item := item.(type) {
	case nil:
		return ""
	case json.Number:
		return item.String()
	}
	return fmt.Sprint(item)
}
