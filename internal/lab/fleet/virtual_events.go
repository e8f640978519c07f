package fleet

// Event is something in virtual time.
type event struct {
	at    float64
	order uint64
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}
