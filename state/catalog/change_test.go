package catalog_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/catalog"
)

func TestModelChanges(t *testing.T) {
	service := func(name state.ServiceName, models ...catalog.Model) catalog.Service {
		return catalog.Service{Name: name, Engine: &catalog.Engine{Models: models}}
	}
	config := func(services ...catalog.Service) *catalog.Catalog {
		return catalog.New(1, nil, services, nil, catalog.Limits{})
	}
	a, b := catalog.Model{Name: "a", GroupSize: 4}, catalog.Model{Name: "b", GroupSize: 2}
	for _, c := range []struct {
		name          string
		before, after *catalog.Catalog
		want          []catalog.ModelChange
	}{
		{"the same", config(service("lm", a, b)), config(service("lm", a, b)), nil},
		{"another order", config(service("lm", a, b)), config(service("lm", b, a)), nil},
		{"added", config(service("lm", a)), config(service("lm", a, b)), []catalog.ModelChange{{Service: "lm", Added: []string{"b"}}}},
		{"removed", config(service("lm", a, b)), config(service("lm", b)), []catalog.ModelChange{{Service: "lm", Removed: []string{"a"}}}},
		{"replaced", config(service("lm", a)), config(service("lm", b)), []catalog.ModelChange{{Service: "lm", Added: []string{"b"}, Removed: []string{"a"}}}},
		{"resized", config(service("lm", a)), config(service("lm", catalog.Model{Name: "a", GroupSize: 2})), []catalog.ModelChange{{Service: "lm", Resized: []string{"a"}}}},
		{"service removed", config(service("lm", a), service("other", b)), config(service("lm", a)), []catalog.ModelChange{{Service: "other", Removed: []string{"b"}}}},
		{"engine removed", config(service("lm", a)), config(catalog.Service{Name: "lm"}), []catalog.ModelChange{{Service: "lm", Removed: []string{"a"}}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			NewWithT(t).Expect(catalog.ModelChanges(c.before, c.after)).To(Equal(c.want))
		})
	}
}
