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

// maxRulesShown bounds the rules in RuleCounts, which has the first ones that have matched.
const maxRulesShown = 50

// ruleSet holds the operator's rules and the match count of each. All sessions share it.
type ruleSet struct {
	set     *rules.Set
	matched []atomic.Int64 // matches, by rule
	refused atomic.Int64   // queries that a rule rejected
	scratch sync.Pool      // of *rules.Scratch, one for each query that is being matched
}

// ExpectRules declares that rules may be set: queries then carry their input to the rules
// (request.Query.RuleInput). The event loop needs it to compute their ordering keys, as rules may
// change while a query is in flight. ExpectRules must be called before Serve.
func (s *Server) ExpectRules() { s.rulesPossible = true }

// SetRules replaces the rules that are applied to queries read from now on; nil removes all rules.
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

// RuleCounts returns, for the log, how often each rule matched since the rules were set.
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

// applyRules applies the operator's rules to a query before it is passed on. rejection is the
// message of the rule that rejects the query; empty if none does.
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

// ruleInput returns the input of a query to the rules.
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

// RuleInput parses a query into its input to the rules, so that rules can be tested without a
// controller. Its error is a *pgwire.FieldError, which names the invalid field.
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
