package loss

import (
	"cmp"
	"slices"
	"strconv"

	sardine "sardineswitch.dev/sardine"
)

// Count is the number of losses that have a route, second, target or node in
// common.
type Count struct {
	name   string
	causes map[Cause]int
	total  int
}

// Name returns the name of the route, second, target or node.
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

// Late returns the number of losses that were answered in full, but late.
func (r *Report) Late() int {
	late := 0
	for _, record := range r.records {
		if record.Late() {
			late++
		}
	}
	return late
}

// Unexplained returns the number of losses whose cause can't be found from the
// log lines.
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

// ByRoute counts losses by route, the highest count first.
func (r *Report) ByRoute() []Count {
	return byTotal(r.by(Record.Route))
}

// ByTarget counts losses by last target, the highest count first.
func (r *Report) ByTarget() []Count {
	return byTotal(r.by(Record.Target))
}

// ByNode counts losses by entry node, the highest count first.
func (r *Report) ByNode() []Count {
	return byTotal(r.by(Record.Node))
}

// BySecond counts losses by the second since the first loss, in order of time.
func (r *Report) BySecond() []Count {
	return r.by(func(record Record) string {
		return strconv.FormatInt(int64((record.at-r.start)/sardine.Second), 10)
	})
}

// by counts losses by name, in the order in which the names occur. Without losses
// it returns one empty count.
func (r *Report) by(name func(Record) string) []Count {
	indexes := make(map[string]int)
	var all []Count
	for _, record := range r.records {
		n := name(record)
		i, known := indexes[n]
		if !known {
			i = len(all)
			indexes[n] = i
			all = append(all, Count{name: n, causes: make(map[Cause]int)})
		}
		all[i].causes[record.Cause()]++
		all[i].total++
	}
	if all == nil {
		all = []Count{{causes: make(map[Cause]int)}}
	}
	return all
}

// byTotal sorts counts by their total, the highest first, then by name.
func byTotal(all []Count) []Count {
	slices.SortStableFunc(all, func(a, b Count) int {
		return cmp.Or(cmp.Compare(b.total, a.total), cmp.Compare(a.name, b.name))
	})
	return all
}
