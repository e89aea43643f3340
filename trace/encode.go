package trace

import (
	"encoding/json"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
	"sardineswitch.dev/sardine/route"
)

// Path is the path of an entry node's internal server that returns the Account of
// a request by GET, with the request's id appended.
const Path = "/sardine/v1/explain/request/"

// Account is the JSON form of a record. Times are in milliseconds; all but
// Waited count from the request's arrival.
type Account struct {
	Request    string    `json:"request"`
	Node       string    `json:"node"`
	Age        int64     `json:"age_ms"` // from the request's arrival to this answer
	Workspace  string    `json:"workspace,omitempty"`
	Service    string    `json:"service,omitempty"`
	Waited     int64     `json:"waited_ms"`
	Dispatches []StepRow `json:"dispatches"`
	Unnamed    int       `json:"unnamed_dispatches,omitempty"` // number of dispatches beyond those listed
	First      int64     `json:"first_token_ms,omitempty"`
	Tokens     int       `json:"tokens"`
	Ended      bool      `json:"ended"`
	Took       int64     `json:"took_ms,omitempty"`
	Code       int       `json:"code"`
	CodeName   string    `json:"code_name"`
	Ran        string    `json:"ran"`
	CallerLeft bool      `json:"caller_left,omitempty"`
}

// StepRow is one dispatch: a group with its epoch, or a VM with its incarnation.
type StepRow struct {
	Target string `json:"target"`
	After  int64  `json:"after_ms"`
}

// Account returns the JSON form of the record at the instant now. The outcome is
// set once the request has ended.
func (k *Record) Account(node sardine.NodeID, now sardine.Millis) Account {
	k.mu.Lock()
	defer k.mu.Unlock()
	a := Account{
		Request:    string(k.id),
		Node:       string(node),
		Age:        int64(now - k.arrived),
		Workspace:  string(k.workspace),
		Service:    string(k.service),
		Waited:     int64(k.queueTime),
		Dispatches: []StepRow{},
		Unnamed:    max(k.dispatches-maxListed, 0),
		First:      int64(k.firstToken),
		Tokens:     k.tokens,
		Ended:      k.ended,
		Took:       int64(k.duration),
		Ran:        sardine.RanUnknown.String(),
		CallerLeft: k.callerLeft,
	}
	if k.ended {
		a.Code, a.CodeName, a.Ran = int(k.code), k.code.Name(), k.ran.String()
	}
	for _, s := range k.listed[:min(k.dispatches, maxListed)] {
		a.Dispatches = append(a.Dispatches, rowOf(s.Target, s.After))
	}
	return a
}

func rowOf(target route.Ref, after sardine.Millis) StepRow {
	return StepRow{Target: target.String(), After: int64(after)}
}

// Decode parses the JSON form of an account. Errors carry codes.AnswerInvalid.
func Decode(text []byte) (Account, error) {
	var a Account
	if err := json.Unmarshal(text, &a); err != nil {
		return Account{}, codes.Wrap(codes.AnswerInvalid, err, "can't parse the account of a request")
	}
	return a, nil
}
