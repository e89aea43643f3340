package ctrl

import (
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
)

func engineSpec(models ...sardine.ModelName) *sardine.EngineSpec {
	e := &sardine.EngineSpec{}
	for _, m := range models {
		e.Models = append(e.Models, sardine.ModelSpec{Name: m})
	}
	return e
}

// TestModelsAreLimitedToOwnService checks that a VM may load only the models of its own
// service if another service has engines too.
func TestModelsAreLimitedToOwnService(t *testing.T) {
	one := []sardine.Service{{Name: "cues", Engine: engineSpec("m0", "m1")}, {Name: "app"}}
	two := append(one, sardine.Service{Name: "chats", Engine: engineSpec("m2")})
	for _, c := range []struct {
		services []sardine.Service
		service  sardine.ServiceName
		models   []sardine.ModelName
		known    bool
	}{
		{nil, "cues", nil, true},
		{one, "cues", nil, true},
		{one, "app", nil, true},
		{one, "other", nil, false},
		{two, "cues", []sardine.ModelName{"m0", "m1"}, true},
		{two, "chats", []sardine.ModelName{"m2"}, true},
		{two, "app", nil, true},
	} {
		models, known := loadableModels(c.services, c.service)
		require.Equal(t, c.models, models, "%s of %d services", c.service, len(c.services))
		require.Equal(t, c.known, known, "%s of %d services", c.service, len(c.services))
	}
}
