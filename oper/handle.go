package oper

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	goji "goji.io"
	"goji.io/pat"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/state"
)

// operatorScope is the text of the scope that covers everything.
const operatorScope = "operator"

type handler struct {
	backend Backend
}

// Handler serves the paths of this package for a control node. Each request
// needs an operator's token in Authorization: Bearer.
func Handler(b Backend) http.Handler {
	h := handler{backend: b}
	mux := goji.NewMux()
	mux.HandleFunc(pat.Post(LeavePath), h.authorised(h.leave))
	mux.HandleFunc(pat.Post(PoisonPath), h.authorised(h.releasePoison))
	mux.HandleFunc(pat.Get(TokensPath), h.authorised(h.listTokens))
	mux.HandleFunc(pat.Post(TokensPath), h.authorised(h.putToken))
	mux.HandleFunc(pat.Delete(TokensPath), h.authorised(h.revokeToken))
	return WithSource(mux)
}

// authorised returns a handler that checks the request's token, calls serve and
// sends its result or the error.
func (h handler) authorised(serve func(r *http.Request) ([]byte, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		err := h.backend.Authorise(r.Context(), Bearer(r), "")
		var body []byte
		if err == nil {
			body, err = serve(r)
		}
		w.Header().Set("Content-Type", "application/json")
		if err != nil {
			writeFault(w, err)
			return
		}
		if len(body) == 0 {
			body = []byte("{}")
		}
		_, _ = w.Write(append(body, '\n'))
	}
}

func writeFault(w http.ResponseWriter, err error) {
	code := codes.Of(err)
	detail := err.Error()
	var coded *codes.Error
	if errors.As(err, &coded) {
		detail = coded.Message()
	}
	text, _ := json.Marshal(faultMessage{Code: int(code), Name: code.Name(), Detail: detail}) // strings and numbers always marshal
	w.WriteHeader(code.Status())
	_, _ = w.Write(append(text, '\n'))
}

// leave marks the newest incarnation of a target as leaving.
func (h handler) leave(r *http.Request) ([]byte, error) {
	vm := sardine.VMID(r.URL.Query().Get("vm"))
	var target state.Target
	known := false
	h.backend.View(func(m *state.Machine) { target, known = m.Target(vm) })
	if !known {
		return nil, codes.New(codes.UnknownMember, "no target %q, see sardctl targets", vm)
	}
	return nil, h.backend.Propose(state.TargetLeaving{VM: vm, Incarnation: target.Incarnation})
}

func (h handler) releasePoison(r *http.Request) ([]byte, error) {
	fingerprint, err := hex.DecodeString(r.URL.Query().Get("fingerprint"))
	if err != nil || len(fingerprint) == 0 {
		return nil, codes.New(codes.BadRequest, "fingerprint: expected hexadecimal digits, see sardctl poison list")
	}
	known := false
	h.backend.View(func(m *state.Machine) {
		for _, p := range m.Poisons() {
			known = known || string(p.Fingerprint) == string(fingerprint)
		}
	})
	if !known {
		return nil, codes.New(codes.UnknownMember, "no request %x, see sardctl poison list", fingerprint)
	}
	return nil, h.backend.Propose(state.ReleasePoison{Fingerprint: fingerprint})
}

func (h handler) listTokens(*http.Request) ([]byte, error) {
	var all []state.Token
	h.backend.View(func(m *state.Machine) { all = m.Tokens() })
	return EncodeTokens(all)
}

func (h handler) putToken(r *http.Request) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return nil, codes.Wrap(codes.BadRequest, err, "token")
	}
	t, err := DecodeToken(text)
	if err != nil {
		return nil, err
	}
	if t.Scope != operatorScope && h.backend.Open() {
		// Everyone is an operator as long as the site has no token. A first token
		// with another scope would lock out all operators for good.
		return nil, codes.New(codes.ScopeRefused, "the site has no operator's token yet, make one before a token for %s", t.Scope)
	}
	return nil, h.backend.Propose(state.PutToken{Token: t})
}

func (h handler) revokeToken(r *http.Request) ([]byte, error) {
	hash, err := hex.DecodeString(r.URL.Query().Get("hash"))
	if err != nil || len(hash) != hashBytes {
		return nil, codes.New(codes.BadRequest, "hash: expected %d bytes in hexadecimal", hashBytes)
	}
	if h.isLastOperator(hash, Bearer(r)) {
		return nil, codes.New(codes.ScopeRefused, "this is the last operator's token, make another before it is revoked")
	}
	return nil, h.backend.Propose(state.DropToken{Hash: hash})
}

// isLastOperator reports whether the token with the hash is the only operator's token
// in the replicated state and also the caller's own. A caller whose token is in the
// node's settings may revoke it, since that token stays valid.
func (h handler) isLastOperator(hash []byte, token string) bool {
	sum := sha256.Sum256([]byte(token))
	operators, revoked, own := 0, false, false
	h.backend.View(func(m *state.Machine) {
		for _, t := range m.Tokens() {
			if t.Scope != operatorScope {
				continue
			}
			operators++
			revoked = revoked || bytes.Equal(t.Hash, hash)
			own = own || bytes.Equal(t.Hash, sum[:])
		}
	})
	return operators == 1 && revoked && own
}
