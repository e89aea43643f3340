package loss

import (
	"cmp"
	"slices"
	"strconv"

	sardine "sardineswitch.dev/sardine"
)

// Count is how many losses have something in common.
type Count struct {
	name   string
	causes map[Cause]int
	total  int
}

// Name returns what they have in common: a route, a second, a target.
func (c Count) Name() string {
	return c.name
}

// Total returns the number of losses.
func (c Count) Total() int {
	return c.total
}

// Of returns the number of losses by one cause.
func (c Count) Of(cause Cause) int {
	return c.causes[cause]
}

// Report counts losses.
type Report struct {
	records []Record
	start   sardine.Millis
}

// NewReport returns the report on the records.
func NewReport(records []Record) *Report {
	sorted := slices.Clone(records)
	slices.SortStableFunc(sorted, func(a, b Record) int { return cmp.Compare(a.at, b.at) })
	r := &Report{records: sorted}
	if len(sorted) > 0 {
		r.start = sorted[0].at
	}
	return r
}

// Total returns the number of losses.
func (r *Report) Total() int {
	return len(r.records)
}

// Late returns how many of them were answered in full, but late.
func (r *Report) Late() int {
	late := 0
	for _, record := range r.records {
		if record.Late() {
			late++
		}
	}
	return late
}

// Unexplained returns the number of losses whose cause the lines don't tell.
func (r *Report) Unexplained() int {
	return r.by(func(Record) string { return "" })[0].Of(Unexplained)
}

// Causes returns the causes that occur, the most frequent first.
func (r *Report) Causes() []Cause {
	counts := make(map[Cause]int)
	var causes []Cause
	for _, record := range r.records {
		c := record.Cause()
		if counts[c] == 0 {
			causes = append(causes, c)
		}
		counts[c]++
	}
	slices.SortFunc(causes, func(a, b Cause) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
	return causes
}

// ByRoute counts by route, the greatest first.
func (r *Report) ByRoute() []Count {
	return byTotal(r.by(Record.Route))
}

// ByTarget counts by target, the greatest first.
func (r *Report) ByTarget() []Count {
	return byTotal(r.by(Record.Target))
}

// ByNode counts by entry node, the greatest first.
func (r *Report) ByNode() []Count {
	return byTotal(r.by(Record.Node))
}

// BySecond counts by the second since the first line, in order.
func (r *Report) BySecond() []Count {
	return r.by(func(record Record) string {
		return strconv.FormatInt(int64((record.at-r.start)/sardine.Second), 10)
	})
}

// by counts by name, in the order in which the names occur.
func (r *Report) by(name func(Record) string) []Count {
	places := make(map[string]int)
	var all []Count
	for _, record := range r.records {
		n := name(record)
		place, known := places[n]
		if !known {
			place = len(all)
			places[n] = place
			all = append(all, Count{name: n, causes: make(map[Cause]int)})
		}
		all[place].causes[record.Cause()]++
		all[place].total++
	}
	if all == nil {
		all = []Count{{causes: make(map[Cause]int)}}
	}
	return all
}

func byTotal(all []Count) []Count {
	slices.SortStableFunc(all, func(a, b Count) int {
		return cmp.Or(cmp.Compare(b.total, a.total), cmp.Compare(a.name, b.name))
	})
	return all
}
