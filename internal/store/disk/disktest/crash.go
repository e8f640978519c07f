package disktest

import (
	"maps"
	"math/rand"
	"slices"
)

// CrashMode selects which unsynced changes survive a crash.
type CrashMode int

// The modes of a crash. They concern unsynced writes and unsynced changes of names only.
const (
	LoseUnsynced        CrashMode = iota // no change of names and no write survives
	KeepUnsynced                         // all survive
	KeepNamesOnly                        // changes of names survive, writes don't
	KeepContentOnly                      // writes survive, changes of names don't
	TearLastWrite                        // the last write of each file is torn; all else survives
	LoseFirstWrite                       // the first write of each file is zeros; all else survives
	LoseAtRandom                         // each change survives, is torn or is lost at random
	LoseFirstNameChange                  // the first change of names is lost; all else survives
	crashModeCount
)

// CrashModes returns all modes.
func CrashModes() (all []CrashMode) {
	for mode := range crashModeCount {
		all = append(all, mode)
	}
	return all
}

// AfterCrash returns the disk as a crash at this moment would leave it; d itself is not changed. It
// does not lock d.mu, so that the function passed to OnOperation may call it.
func (d *Disk) AfterCrash(mode CrashMode, rng *rand.Rand) *Disk {
	names := maps.Clone(d.durableNames)
	for i, change := range d.unsyncedNames {
		if mode.keepsName(i, rng) {
			change.apply(names)
		}
	}
	after := New()
	survivors := map[*inode]*inode{} // a file may have two names
	for name, node := range names {
		if survivors[node] == nil {
			survivors[node] = &inode{synced: node.afterCrash(mode, rng)}
		}
		after.names[name] = survivors[node]
		after.durableNames[name] = survivors[node]
	}
	return after
}

// keepsName reports whether the i-th unsynced change of names survives.
func (mode CrashMode) keepsName(i int, rng *rand.Rand) bool {
	switch mode {
	case KeepUnsynced, KeepNamesOnly, TearLastWrite, LoseFirstWrite:
		return true
	case LoseFirstNameChange:
		return i > 0
	case LoseAtRandom:
		return rng.Intn(2) == 0
	}
	return false
}

// afterCrash returns the content of a file after a crash.
func (n *inode) afterCrash(mode CrashMode, rng *rand.Rand) []byte {
	content := slices.Clone(n.synced)
	for i, written := range n.unsynced {
		isFirst := i == 0
		isLast := i == len(n.unsynced)-1
		switch {
		case mode == LoseUnsynced || mode == KeepNamesOnly:
		case mode == TearLastWrite && isLast:
			content = append(content, tornPrefix(written, rng)...)
		case mode == LoseFirstWrite && isFirst && len(written) > 0:
			content = append(content, make([]byte, len(written))...)
		case mode == LoseAtRandom && rng.Intn(3) == 0:
			return append(content, tornPrefix(written, rng)...)
		case mode == LoseAtRandom && rng.Intn(3) == 0:
			content = append(content, make([]byte, len(written))...)
		default:
			content = append(content, written...)
		}
	}
	return content
}

// tornPrefix returns a prefix of a write, of random length.
func tornPrefix(written []byte, rng *rand.Rand) []byte { return written[:rng.Intn(len(written)+1)] }
