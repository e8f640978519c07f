package clients

import (
	"log/slog"
	"sync"
	"sync/atomic"

	"mintkeel/internal/core/rules"
	"mintkeel/internal/pgwire"
	"mintkeel/internal/request"
	"mintkeel/internal/settings"
	"mintkeel/match"
	"mintkeel/router"
)

// maxRulesShown is how many rules have their counts printed: the first ones that matched.
const maxRulesShown = 50

// ruleSet is the operator's rules with counts of how often each matched. Sessions share it.
type ruleSet struct {
	set     *rules.Set
	matched []atomic.Int64 // by rule
	refused atomic.Int64   // queries
	scratch sync.Pool      // of *rules.Scratch: one for each query that is being matched
}

// ExpectRules says, before Serve, that there may be rules: queries then carry what rules see of
// them (request.Query.RuleInput). The loop needs that to find their ordering keys, as rules may
// change while a query is on its way.
func (s *Server) ExpectRules() { s.rulesPossible = true }

// SetRules applies these rules to queries that are read from now on; nil: none.
func (s *Server) SetRules(set *rules.Set) {
	if set == nil || set.Len() == 0 {
		s.ruleSet.Store(nil)
		return
	}
	s.ruleSet.Store(&ruleSet{
		set:     set,
		matched: make([]atomic.Int64, set.Len()),
		scratch: sync.Pool{New: func() any { return &rules.Scratch{} }},
	})
}

// RuleCounts prints how often each rule matched since the rules were set.
func (s *Server) RuleCounts() slog.Value {
	r := s.ruleSet.Load()
	if r == nil {
		return slog.GroupValue()
	}
	counts := []slog.Attr{slog.Int("rules", r.set.Len()), slog.Int64("refused", r.refused.Load())}
	shown := 0
	for i := range r.matched {
		n := r.matched[i].Load()
		if n > 0 && shown < maxRulesShown {
			shown++
			counts = append(counts, slog.Int64(r.set.Name(i), n))
		}
	}
	return slog.GroupValue(counts...)
}

// applyRules has the operator's rules change a query that is not handed over yet. If they refuse
// it, rejection is their text; empty: they don't.
func (s *Server) applyRules(query *request.Query, input rules.Query) (rejection string) {
	r := s.ruleSet.Load()
	if r == nil {
		return ""
	}
	scratch := r.scratch.Get().(*rules.Scratch)
	defer r.scratch.Put(scratch)
	scratch.Trace = func(rule int, matched bool) {
		if matched {
			r.matched[rule].Add(1)
		}
	}
	verdict := r.set.Apply(&input, scratch)
	if verdict.Rejection != "" {
		r.refused.Add(1)
		return verdict.Rejection
	}
	query.Class = verdict.Class
	query.OrderingKey = verdict.OrderingKey
	query.Hot = verdict.Hot
	query.Kinds = verdict.Kinds
	query.Zones = verdict.Zones
	query.EstimateCap = verdict.EstimateCap
	return ""
}

// ruleInput is a query as rules see it.
func ruleInput(
	f pgwire.Fields, class router.ClassID, table pgwire.Table, application, listener string,
) rules.Query {
	input := rules.Query{
		Class:             class,
		Tenant:            f.Tenant,
		Schema:            table.Schema,
		Table:             table.Name,
		Tables:            router.TableGroup(table.Group),
		OrderingKey:       router.OrderingKey(f.OrderingKey),
		EstimatedWork:     f.EstimatedWorkMS,
		EstimatedMemoryMB: f.EstimatedMemoryMB,
		TimeLeft:          f.TimeoutMS,
		Protocol:          "postgres",
		Application:       application,
		Listener:          listener,
	}
	for _, l := range f.Labels {
		input.Labels = append(input.Labels, match.Label{Name: l.Name, Value: l.Value})
	}
	return input
}

// RuleInput returns a query as rules see it, to try rules without a controller. Its error is a
// *pgwire.FieldError, which names the field that can't be used.
func RuleInput(
	query []byte, names *settings.Names, application, listener string,
) (rules.Query, error) {
	f, err := pgwire.ParseQuery(query)
	if err != nil {
		return rules.Query{}, err
	}
	class, err := findClass(names, f.ClassName)
	if err != nil {
		return rules.Query{}, err
	}
	table, found := pgwire.FindTable(f.Statement)
	if !found {
		why := "names no group of tables"
		return rules.Query{}, &pgwire.FieldError{Field: pgwire.FieldStatement, Why: why}
	}
	return ruleInput(f, class, table, application, listener), nil
}
