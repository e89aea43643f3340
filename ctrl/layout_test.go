package ctrl

import (
	"testing"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
)

func engines(models ...sardine.ModelName) *sardine.EngineSpec {
	e := &sardine.EngineSpec{}
	for _, m := range models {
		e.Models = append(e.Models, sardine.ModelSpec{Name: m})
	}
	return e
}

// TestEnginesOfTwoServicesAreKeptApart: a VM may load only its own service's models
// if there is another service with engines.
func TestEnginesOfTwoServicesAreKeptApart(t *testing.T) {
	one := []sardine.Service{{Name: "cues", Engine: engines("m0", "m1")}, {Name: "app"}}
	two := append(one, sardine.Service{Name: "chats", Engine: engines("m2")})
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
		models, known := loadable(c.services, c.service)
		require.Equal(t, c.models, models, "%s of %d services", c.service, len(c.services))
		require.Equal(t, c.known, known, "%s of %d services", c.service, len(c.services))
	}
}
