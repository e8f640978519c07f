package logs

import (
	"context"
	"log/slog"
	"slices"
)

// handler is the slog.Handler of a Log. It collects attributes and groups itself: zerolog's handler
// would put attributes into groups that were opened after them.
type handler struct {
	log    *Log
	scopes []scope // outermost first
}

// scope is the attributes of one WithAttrs, or the group of one WithGroup.
type scope struct {
	group string // empty: attributes only
	attrs []slog.Attr
}

// Enabled reports whether lines of a level are written.
func (h *handler) Enabled(_ context.Context, level slog.Level) bool {
	return level >= h.log.config.Load().block.Level
}

// Handle writes a line, unless the rate limit of its kind is reached.
func (h *handler) Handle(ctx context.Context, r slog.Record) error {
	config := h.log.config.Load()
	dropped, ok := h.log.limiter.allow(kind{r.Level, r.Message}, config.block)
	if !ok {
		return nil
	}
	line := slog.NewRecord(r.Time, r.Level, r.Message, r.PC)
	line.AddAttrs(h.scopedAttrs(r)...)
	if dropped > 0 {
		line.AddAttrs(slog.Int("dropped", dropped))
	}
	return config.handler.Handle(ctx, line)
}

// scopedAttrs returns the attributes of a record and of the handler, each in the group in which it
// was set.
func (h *handler) scopedAttrs(r slog.Record) []slog.Attr {
	var attrs []slog.Attr
	r.Attrs(func(a slog.Attr) bool {
		attrs = append(attrs, a)
		return true
	})
	for _, s := range slices.Backward(h.scopes) {
		attrs = slices.Concat(s.attrs, attrs)
		if s.group != "" {
			attrs = []slog.Attr{{Key: s.group, Value: slog.GroupValue(attrs...)}}
		}
	}
	return attrs
}

// WithAttrs returns a handler that adds attributes to each line.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	if len(attrs) == 0 {
		return h
	}
	return h.with(scope{attrs: attrs})
}

// WithGroup returns a handler that puts all attributes set later into a group.
func (h *handler) WithGroup(name string) slog.Handler {
	if name == "" {
		return h
	}
	return h.with(scope{group: name})
}

func (h *handler) with(s scope) *handler {
	return &handler{log: h.log, scopes: append(slices.Clip(h.scopes), s)}
}
