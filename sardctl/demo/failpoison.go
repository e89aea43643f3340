package demo

import (
	"context"
	"net/http"

	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/oper"
	"sardineswitch.dev/sardine/standin/engine"
	"sardineswitch.dev/sardine/status"
)

// failPoison repeats a request that crashes the engines that run it, until the
// request is refused.
func failPoison(ctx context.Context, s *demoState) (injectedFailure, error) {
	c := newCaller()
	for {
		a, right, err := c.chat(ctx, s.site.Entries()[0].Node().PublicAddress(), engine.PoisonMarker, loadTokens)
		if right || ctx.Err() != nil {
			return injectedFailure{}, codes.New(codes.Internal, "the poison request was answered or not refused: %v", err)
		}
		if a.status == codes.PoisonRequest.Status() {
			break
		}
	}
	var fingerprint string
	return injectedFailure{
		subject: "refused",
		check: func(r status.Report) error {
			for _, p := range r.Poisons {
				if p.Condition.State == "refused" && !p.Condition.Healthy && len(p.Targets) > 0 {
					fingerprint = p.Fingerprint
					return checkOnlyUnhealthy(r, "request", fingerprint)
				}
			}
			return mismatch("%d requests are reported as suspected, none as refused", len(r.Poisons))
		},
		removeCause: func(ctx context.Context) error {
			if err := releasePoison(ctx, s, fingerprint); err != nil {
				return err
			}
			return startAll(s.site.Engines())
		},
		recovered: func() bool { return servesFully(s) },
	}, nil
}

// releasePoison lets a refused request run again, as sardctl poison release does.
func releasePoison(ctx context.Context, s *demoState, fingerprint string) error {
	leader := s.site.LeaderIndex()
	if leader < 0 {
		return codes.New(codes.NoQuorum, "no control node leads")
	}
	address := s.site.Controls()[leader].Node().OperatorAddress()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+oper.PoisonPath+"?fingerprint="+fingerprint, nil)
	if err != nil {
		return err
	}
	answer, err := newCaller().http.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return codes.New(codes.Internal, "release of %s: %s", fingerprint, answer.Status)
	}
	return nil
}
