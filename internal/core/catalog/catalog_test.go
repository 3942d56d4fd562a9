package catalog

import (
	"testing"

	"pepperlever/internal/core/job"
	"pepperlever/internal/protocol"
)

// TestCheapestForComparesPricesPerTask checks that a large machine that holds many tasks can be
// the cheapest, and that only allowed types that can hold a task count.
func TestCheapestForComparesPricesPerTask(t *testing.T) {
	types := New([]protocol.MachineType{
		{Name: "large", CPUs: 16, MemoryGB: 64, Price: 3},
		{Name: "small", CPUs: 4, MemoryGB: 16, Price: 1},
	})
	for name, c := range map[string]struct {
		cpus  float64
		types []string
		want  string
	}{
		"many fit on a large machine": {2, nil, "large"},
		"one type is allowed":         {2, []string{"small"}, "small"},
		"fits on large machines only": {8, nil, "large"},
		"fits on no machine":          {32, nil, ""},
	} {
		spec := &job.Spec{Need: job.Resources{CPUs: c.cpus}, Types: c.types}
		if got := types.CheapestFor(spec); got != c.want {
			t.Errorf("%s: got %q, want %q", name, got, c.want)
		}
	}
}

// TestKindTraitsAreRelativeToAllTypes checks the traits that compare a kind with the cheapest kind
// and the largest types.
func TestKindTraitsAreRelativeToAllTypes(t *testing.T) {
	kinds := New([]protocol.MachineType{
		{Name: "small", CPUs: 4, Price: 1.2, SpotPrice: 0.8},
		{Name: "large", CPUs: 16, GPUs: 4, Price: 16, SpotPrice: 4},
	}).Kinds()
	for kind, want := range map[MachineKind]KindTraits{
		{Type: "small", Spot: true}:  {Capacity: job.Resources{CPUs: 4}, PricePremium: 0, RelativeSize: 0.25},
		{Type: "small", Spot: false}: {Capacity: job.Resources{CPUs: 4}, PricePremium: 1.2/0.8 - 1, RelativeSize: 0.25},
		{Type: "large", Spot: false}: {Capacity: job.Resources{CPUs: 16, GPUs: 4}, PricePremium: 1, RelativeSize: 1, GPUShare: 1},
	} {
		got := kinds[kind]
		if difference := got.PricePremium - want.PricePremium; difference < -1e-9 || difference > 1e-9 {
			t.Errorf("%v: got price premium %v, want %v", kind, got.PricePremium, want.PricePremium)
		}
		got.PricePremium = want.PricePremium
		if got != want {
			t.Errorf("%v: got %+v, want %+v", kind, got, want)
		}
	}
}

// TestCatalogIsLoadedEvenWhenEmpty checks that Loaded distinguishes an empty catalog from one that
// has not been loaded.
func TestCatalogIsLoadedEvenWhenEmpty(t *testing.T) {
	if (Catalog{}).Loaded() || !New(nil).Loaded() {
		t.Error("Loaded does not distinguish an empty catalog from a missing one")
	}
}
