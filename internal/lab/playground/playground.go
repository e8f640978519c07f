// Package playground runs emulated engines and their discovery on loopback, and writes a controller's configuration for
// them, so that the daemon can be tried on one machine.
package playground

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"mintkeel/internal/lab/scale/daemon"
	"mintkeel/internal/lab/standin"
)

// MaxEngines is the largest number of engines of a playground.
const MaxEngines = 64

// Options configure a playground.
type Options struct {
	Folder  string // for the configuration; created if it does not exist
	Listen  string // address that the controller will listen on
	Engines int    // 1 to MaxEngines
	Seed    int64
}

// Playground is a set of running engines with their discovery. The caller must close it.
type Playground struct {
	Config string // path of the controller's configuration

	engines []*standin.Engine
	cancel  context.CancelFunc // of discovery
}

// Start starts discovery and the engines and writes the configuration. Discovery also ends when ctx is done.
func Start(ctx context.Context, o Options) (*Playground, error) {
	if o.Engines < 1 || o.Engines > MaxEngines {
		return nil, fmt.Errorf("%d engines: must be from 1 to %d", o.Engines, MaxEngines)
	}
	if err := os.MkdirAll(o.Folder, 0o700); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	p := &Playground{cancel: cancel}
	if err := p.start(ctx, o); err != nil {
		p.Close()
		return nil, err
	}
	return p, nil
}

func (p *Playground) start(ctx context.Context, o Options) error {
	feed, err := standin.NewFeed(ctx)
	if err != nil {
		return err
	}
	for number := range o.Engines {
		engine, err := daemon.NewEngine(number+1, o.Seed+int64(number))
		if err != nil {
			return err
		}
		p.engines = append(p.engines, engine)
	}
	controller := daemon.Options{Folder: o.Folder, Name: "playground", DiscoveryAddr: feed.Addr, Engines: p.engines, Controllers: 1, Seed: o.Seed}
	path, err := controller.WriteConfiguration(o.Listen)
	if err != nil {
		return err
	}
	p.Config, err = filepath.Abs(path)
	return err
}

// Attempts returns the number of attempts that each engine has carried out, by its id.
func (p *Playground) Attempts() map[string]int {
	attempts := map[string]int{}
	for _, engine := range p.engines {
		done, _, _ := engine.Counts()
		attempts[engine.ID] = done
	}
	return attempts
}

// Close stops discovery and the engines.
func (p *Playground) Close() {
	p.cancel()
	for _, engine := range p.engines {
		engine.Close()
	}
}
