package restart

import (
	"context"
	"os"
	"time"
)

// Surge plays a scene in which one table group becomes hot suddenly: it gets its even share of the commands, then Scene.Hot.
// The measurement begins with the surge. With rule, the operator's rules have marked the group as hot before.
func Surge(ctx context.Context, s Scene, rule bool) (out Outcome, err error) {
	ctx, cancel := context.WithTimeout(ctx, s.Learn+s.Measure+20*time.Second)
	defer cancel()
	dir, err := os.MkdirTemp("", "surge")
	if err != nil {
		return out, err
	}
	defer os.RemoveAll(dir)
	share := s.Hot
	s.Hot = 0
	w, err := open(ctx, s, dir, 0)
	if err != nil {
		return out, err
	}
	defer w.close()
	if rule {
		w.rules = "rule \"hot\" {\n  when = \"table_group == 0\"\n  hot  = true\n}\n"
	}
	p, err := w.start(ctx)
	if err != nil {
		return out, err
	}
	defer p.kill()
	w.play(ctx, s.Learn, nil)
	cold := w.coldCommands()
	w.Hot = share
	w.play(ctx, s.Measure, &out)
	out.Cold = w.coldCommands() - cold
	return out, ctx.Err()
}
