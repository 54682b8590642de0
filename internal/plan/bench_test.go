package plan

import (
	"fmt"
	"testing"

	"geraniumcroft/internal/config"
)

func BenchmarkCompute(b *testing.B) {
	for _, size := range []struct{ targets, dataCentres int }{{43, 3}, {600, 3}, {600, 10}} {
		b.Run(fmt.Sprintf("targets=%d/dataCentres=%d", size.targets, size.dataCentres), func(b *testing.B) {
			in := mixedInput(size.targets, size.dataCentres, 1)
			b.ReportAllocs()
			var set *Set
			for b.Loop() {
				var err error
				if set, err = Compute(in); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(set.Throughput()/set.Bound, "share-of-bound")
			b.ReportMetric(float64(len(set.Plans)), "plans")
			b.ReportMetric(float64(len(set.paths)), "paths")
		})
	}
}

func BenchmarkChoose(b *testing.B) {
	in := mixedInput(600, 10, 1)
	set, err := Compute(in)
	if err != nil {
		b.Fatal(err)
	}
	chooser := NewChooser(set, 1)
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := chooser.Choose(Query{Urgency: config.Bulk, Usable: always}); !ok {
			b.Fatal("no plan")
		}
	}
}

func BenchmarkWithout(b *testing.B) {
	for _, dataCentres := range []int{3, 10} {
		b.Run(fmt.Sprintf("targets=600/dataCentres=%d", dataCentres), func(b *testing.B) {
			in := mixedInput(600, dataCentres, 1)
			set, err := Compute(in)
			if err != nil {
				b.Fatal(err)
			}
			missing := map[string]bool{in.Targets[7].Name: true}
			b.ReportAllocs()
			var next *Set
			for b.Loop() {
				if next, err = set.Without(missing); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(next.Throughput()/next.Bound, "share-of-bound")
		})
	}
}

// BenchmarkChooseAdHoc has no precomputed plans, so that every choice computes a path.
func BenchmarkChooseAdHoc(b *testing.B) {
	in := mixedInput(600, 10, 1)
	set, err := Compute(in)
	if err != nil {
		b.Fatal(err)
	}
	chooser := NewChooser(&Set{graph: set.graph}, 1)
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := chooser.Choose(Query{Urgency: config.Bulk, Usable: always}); !ok {
			b.Fatal("no plan")
		}
	}
}

func BenchmarkRepair(b *testing.B) {
	in := mixedInput(600, 10, 1)
	set, err := Compute(in)
	if err != nil {
		b.Fatal(err)
	}
	chooser := NewChooser(set, 1)
	current, _ := chooser.Choose(Query{Urgency: config.Bulk, Usable: always})
	failed := map[string]bool{current.Stages[1].Target.Name: true}
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := chooser.Repair(current, failed, always); !ok {
			b.Fatal("no plan")
		}
	}
}
