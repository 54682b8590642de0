package config

import (
	"cmp"
	"fmt"
	"slices"
)

// findings collects problems, so that one report lists all of them.
type findings struct {
	list []Finding
}

func (f *findings) add(path, problem, allowed string) {
	f.list = append(f.list, Finding{Path: path, Problem: problem, Allowed: allowed})
}

func (f *findings) require(ok bool, path, problem, allowed string) {
	if !ok {
		f.add(path, problem, allowed)
	}
}

func (f *findings) notNegative(value int64, path string) {
	f.require(value >= 0, path, "is negative", "0 or more")
}

func (f *findings) unique(values []string, path string) {
	seen := map[string]bool{}
	for i, value := range values {
		f.require(!seen[value], fmt.Sprintf("%s[%d]", path, i), fmt.Sprintf("%q is listed twice", value), "each once")
		seen[value] = true
	}
}

// sorted sorts the findings in place by path and problem and returns them.
func (f *findings) sorted() []Finding {
	slices.SortFunc(f.list, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Path, b.Path), cmp.Compare(a.Problem, b.Problem))
	})
	return f.list
}
