// Package playground runs emulated engines and their discovery on loopback, and writes the configuration of a controller for
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

// MaxEngines bounds the engines of a playground.
const MaxEngines = 64

// Options are what a playground is like.
type Options struct {
	Folder  string // for the configuration; it is made if it is not there
	Listen  string // where the controller is to listen
	Engines int    // 1 to MaxEngines
	Seed    int64
}

// Playground is a set of engines with their discovery. Its owner closes it.
type Playground struct {
	Config string // path of the controller's configuration

	engines []*standin.Engine
	cancel  context.CancelFunc // of discovery
}

// Start starts engines and discovery, which end with the context too, and writes the configuration.
func Start(ctx context.Context, o Options) (*Playground, error) {
	if o.Engines < 1 || o.Engines > MaxEngines {
		return nil, fmt.Errorf("%d engines: 1 to %d are possible", o.Engines, MaxEngines)
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

// Attempts counts the attempts that each engine has carried out, by its id.
func (p *Playground) Attempts() map[string]int {
	attempts := map[string]int{}
	for _, engine := range p.engines {
		done, _, _ := engine.Counts()
		attempts[engine.ID] = done
	}
	return attempts
}

// Close ends discovery and the engines.
func (p *Playground) Close() {
	p.cancel()
	for _, engine := range p.engines {
		engine.Close()
	}
}
