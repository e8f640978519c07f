package discovery

import (
	"fmt"
	"net"

	"mintkeel/internal/settings"
	"mintkeel/router"
)

// InitialList is the endpoint list in a configuration: the updates up to its number. The names in
// the platform's configuration are mapped to the glossary's terms only here, by the tags and by
// stateNames.
type InitialList struct {
	Number  uint64        `json:"no"`
	Updates []InitialItem `json:"items"`
}

// InitialItem is one item of the configuration's list of updates.
type InitialItem struct {
	Number uint64         `json:"no"`
	List   *InitialUpdate `json:"roster"` // nil: the item does not concern the endpoint list
}

// InitialUpdate is an update of the endpoint list in a configuration.
type InitialUpdate struct {
	Complete  bool              `json:"whole"`
	Endpoints []InitialEndpoint `json:"hosts"`
}

// InitialEndpoint is an endpoint in a configuration.
type InitialEndpoint struct {
	Engine      string  `json:"host"`
	Address     string  `json:"dial"`
	Zone        string  `json:"site"`
	Kind        string  `json:"class"`
	Cell        int     `json:"block"`
	State       string  `json:"health"`
	StartedAtMS float64 `json:"born_ms"` // since 1970
}

// stateNames maps the names of engine states in a configuration.
var stateNames = map[string]router.EngineState{
	"active":  router.Ready,
	"leaving": router.Draining,
	"left":    router.Gone,
}

// Read returns the updates in order. Its error is a *settings.FieldError, which names the invalid
// field of the configuration.
func (l *InitialList) Read(names *settings.Names) ([]Update, error) {
	var updates []Update
	for i, item := range l.Updates {
		if item.List == nil {
			continue
		}
		update := Update{Number: item.Number, Complete: item.List.Complete}
		for j, e := range item.List.Endpoints {
			endpoint, err := e.read(fmt.Sprintf("known.items.%d.roster.hosts.%d.", i, j), names)
			if err != nil {
				return nil, err
			}
			update.Endpoints = append(update.Endpoints, endpoint)
		}
		updates = append(updates, update)
	}
	return updates, nil
}

// read validates and converts an endpoint; path is the prefix of its fields in the configuration.
func (e *InitialEndpoint) read(path string, names *settings.Names) (Endpoint, error) {
	state, known := stateNames[e.State]
	if !known {
		why := fmt.Sprintf("%q is not known", e.State)
		return Endpoint{}, &settings.FieldError{Field: path + "health", Why: why}
	}
	if _, _, err := net.SplitHostPort(e.Address); err != nil && state != router.Gone {
		why := fmt.Sprintf("%q is no address", e.Address)
		return Endpoint{}, &settings.FieldError{Field: path + "dial", Why: why}
	}
	if e.Engine == "" {
		return Endpoint{}, &settings.FieldError{Field: path + "host", Why: "is missing"}
	}
	return Endpoint{Address: e.Address, Endpoint: router.Endpoint{
		Engine:    router.EngineID(e.Engine),
		State:     state,
		Zone:      router.Zone(e.Zone),
		Kind:      names.MachineKind(e.Kind),
		Cell:      router.CellID(e.Cell),
		StartedAt: e.StartedAtMS,
	}}, nil
}
