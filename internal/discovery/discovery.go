// Package discovery watches the endpoint list of engines, and reads what was known of it at start.
package discovery

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"strconv"
	"sync"
	"time"

	"mintkeel/internal/limits"
	"mintkeel/internal/settings"
	"mintkeel/router"
)

// Entry is an engine of the list.
type Entry struct {
	router.Endpoint
	Dial string
}

// Update is one change of the list, or the whole list.
type Update struct {
	No      uint64
	Whole   bool
	Expired time.Duration // above 0: nothing new, but nothing heard either for so long that what is older counts as told
	Entries []Entry
}

// Known is what a configuration holds of the list: the updates so far.
type Known struct {
	No    uint64 `json:"no"`
	Items []struct {
		No     uint64 `json:"no"`
		Roster *struct {
			Whole bool   `json:"whole"`
			Hosts []Host `json:"hosts"`
		} `json:"roster"`
	} `json:"items"`
}

// Host is an engine in a configuration.
type Host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	BornMS float64 `json:"born_ms"`
}

var states = map[string]router.EngineState{"active": router.Ready, "leaving": router.Draining, "left": router.Gone}

// Read turns what was known at start into updates, in their order.
func (k *Known) Read(names *settings.Names) ([]Update, error) {
	var all []Update
	for i, item := range k.Items {
		if item.Roster == nil {
			continue
		}
		update := Update{No: item.No, Whole: item.Roster.Whole}
		for j, h := range item.Roster.Hosts {
			at := fmt.Sprintf("known.items.%d.roster.hosts.%d.", i, j)
			state, known := states[h.Health]
			if !known {
				return nil, &settings.FieldError{Field: at + "health", Why: fmt.Sprintf("%q is not known", h.Health)}
			}
			if _, _, err := net.SplitHostPort(h.Dial); err != nil && state != router.Gone {
				return nil, &settings.FieldError{Field: at + "dial", Why: fmt.Sprintf("%q is no address", h.Dial)}
			}
			if h.Host == "" {
				return nil, &settings.FieldError{Field: at + "host", Why: "is missing"}
			}
			update.Entries = append(update.Entries, Entry{Dial: h.Dial, Endpoint: router.Endpoint{
				Engine: router.EngineID(h.Host), State: state, Zone: router.Zone(h.Site), Kind: names.MachineKind(h.Class),
				Cell: router.CellID(h.Block), StartedAt: h.BornMS}})
		}
		all = append(all, update)
	}
	return all, nil
}

// ErrMalformed is a frame of the watch that has no valid form.
var ErrMalformed = errors.New("malformed frame")

const (
	frameHead  = 13 // length, number and kind
	recordSize = 27
	kindNone   = 0
	kindWhole  = 1
	kindChange = 2
)

// ReadFrame takes one frame, which holds most bytes at most; fresh is false where it holds nothing new.
func ReadFrame(r *bufio.Reader, most int, names *settings.Names) (update Update, fresh bool, err error) {
	head, err := r.Peek(frameHead)
	if err != nil {
		return update, false, err
	}
	length, kind := int(binary.BigEndian.Uint32(head)), head[12]
	update.No, update.Whole = binary.BigEndian.Uint64(head[4:]), kind == kindWhole
	size := length - (frameHead - 4)
	if length > most || size < 0 || kind > kindChange || size%recordSize != 0 || kind == kindNone && size != 0 {
		return update, false, fmt.Errorf("%w: length %d, kind %d", ErrMalformed, length, kind)
	}
	r.Discard(frameHead)
	record := make([]byte, recordSize)
	for range size / recordSize {
		if _, err := io.ReadFull(r, record); err != nil {
			return update, false, err
		}
		entry, err := parse(record, names)
		if err != nil {
			return update, false, err
		}
		update.Entries = append(update.Entries, entry)
	}
	return update, kind != kindNone, nil
}

func parse(b []byte, names *settings.Names) (e Entry, err error) {
	state, zone, kind := b[10], int(b[11]), int(b[12])
	if state > byte(router.Gone) {
		return e, fmt.Errorf("%w: state %d", ErrMalformed, state)
	}
	e.Engine = router.EngineID(fmt.Sprintf("s-%08x", binary.BigEndian.Uint32(b)))
	e.Dial = net.JoinHostPort(net.IP(b[4:8]).String(), strconv.Itoa(int(binary.BigEndian.Uint16(b[8:]))))
	e.State, e.Kind = router.EngineState(state), router.KindID(kind)
	if kind >= len(names.MachineKindAt) {
		e.Kind = -1
	}
	if e.Zone = router.Zone(fmt.Sprint("#", zone)); zone < len(names.ZoneAt) { // else one that no profile is bound to
		e.Zone = router.Zone(names.ZoneAt[zone])
	}
	e.Cell = router.CellID(binary.BigEndian.Uint16(b[13:]))
	e.StartedAt = float64(binary.BigEndian.Uint64(b[19:]))
	return e, nil
}

// Watcher follows the endpoint list.
type Watcher struct {
	last    uint64 // number of the last update that it has
	names   *settings.Names
	limits  *limits.Limits
	post    func(Update)
	log     *slog.Logger
	logged  time.Time // when its absence was last logged
	expired bool      // the list has expired, and nothing was heard since

	dialContext func(ctx context.Context, network, address string) (net.Conn, error) // a net.Dialer's, but in tests

	mu    sync.Mutex
	addr  string
	conn  net.Conn  // nil while there is none
	moved bool      // since conn was dialled
	told  time.Time // when the list expires, unless something comes
}

// NewWatcher makes a watcher that has all updates up to last.
func NewWatcher(addr string, last uint64, names *settings.Names, l *limits.Limits, post func(Update),
	log *slog.Logger) *Watcher {
	return &Watcher{addr: addr, last: last, names: names, limits: l, post: post, log: log,
		dialContext: new(net.Dialer).DialContext, told: time.Now().Add(l.EndpointListExpiry)}
}

// Move has the list watched at another address, from the last update; the connection to the old one ends at once, as
// nothing more is told there.
func (w *Watcher) Move(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if addr == w.addr {
		return
	}
	w.addr, w.moved = addr, true
	w.within(w.limits.EndpointListExpiry)
	if w.conn != nil {
		w.conn.Close()
	}
}

// within notes that the list counts as expired after this long, if it did not before; mu is held.
func (w *Watcher) within(long time.Duration) {
	if told := time.Now().Add(long); told.Before(w.told) {
		w.told = told
	}
}

// Follow keeps a watch open until ctx ends, and hands on what comes after the last update, in order and once. A
// connection that is silent, malformed or skips a number is begun anew from that update.
func (w *Watcher) Follow(ctx context.Context) {
	for ctx.Err() == nil {
		began := time.Now()
		err := w.follow(ctx)
		if ctx.Err() != nil {
			return
		}
		if now := time.Now(); now.Sub(w.logged) >= w.limits.LogInterval {
			w.logged = now
			w.log.Warn("discovery connection ended", "why", err, "last", w.last)
		}
		w.expireIfDue()
		select {
		case <-ctx.Done():
		case <-time.After(w.limits.DiscoveryRetryDelay - time.Since(began)): // none after a connection that lasted
		}
	}
}

// expireIfDue tells, once, that the list has expired, if nothing was heard for as long as that takes.
func (w *Watcher) expireIfDue() {
	w.mu.Lock()
	at := w.told
	w.mu.Unlock()
	if w.expired || time.Now().Before(at) {
		return
	}
	w.expired = true
	w.log.Warn("nothing heard from discovery for too long: only engines that go on answering get queries")
	w.post(Update{Expired: w.limits.EndpointListExpiryDisconnected})
}

// silence is until when nothing may come: no longer than the connection may be trusted or, the first time, than the
// list may be.
func (w *Watcher) silence() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	until := time.Now().Add(w.limits.DiscoverySilenceTimeout)
	if !w.expired && w.told.Before(until) {
		return w.told
	}
	return until
}

// dial opens a connection to the address of now, and closes it when ctx ends or the address changes.
func (w *Watcher) dial(ctx context.Context) (net.Conn, error) {
	w.mu.Lock()
	addr := w.addr
	w.moved = false
	w.mu.Unlock()
	timeout := min(w.limits.ConnectTimeout, max(time.Millisecond, time.Until(w.silence())))
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := w.dialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.moved {
		conn.Close()
		return nil, errMoved
	}
	w.conn = conn
	return conn, nil
}

var errMoved = errors.New("discovery has another address now")

// follow reads one connection to its end, which is a break, but for silence.
func (w *Watcher) follow(ctx context.Context) (err error) {
	conn, err := w.dial(ctx)
	if err != nil {
		return err
	}
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	defer func() {
		conn.Close()
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.conn = nil; w.moved {
			err = errMoved
		} else if !errors.Is(err, os.ErrDeadlineExceeded) {
			w.within(w.limits.EndpointListExpiryDisconnected)
		}
	}()
	w.expireIfDue() // while it was dialled; a list that expires now does not cost the connection
	conn.SetWriteDeadline(time.Now().Add(w.limits.DiscoverySilenceTimeout))
	if _, err := conn.Write(binary.BigEndian.AppendUint64(nil, w.last)); err != nil {
		return err
	}
	r := bufio.NewReader(conn)
	for {
		conn.SetReadDeadline(w.silence())
		update, fresh, err := ReadFrame(r, w.limits.DiscoveryFrameBytes, w.names)
		if err != nil {
			return err
		}
		if next := w.last + 1; update.No > next && !update.Whole || update.No == next && !fresh {
			return fmt.Errorf("%w: number %d after %d", ErrMalformed, update.No, w.last)
		}
		if update.No < w.last {
			continue // older than what is known: it does not tell that what is known still holds
		}
		fresh = fresh && update.No > w.last
		if !w.heard() {
			return errMoved
		}
		if fresh {
			w.last = update.No
			w.post(update)
		} else if w.expired {
			w.post(Update{No: w.last})
		}
		w.expired = false
	}
}

// heard notes that something came; false if the address has changed since, and there may be more at the new one.
func (w *Watcher) heard() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.moved {
		w.told = time.Now().Add(w.limits.EndpointListExpiry)
	}
	return !w.moved
}
