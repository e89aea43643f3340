package serve

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
)

// ReadWhole reads an answer of at most limit bytes to its end, within the budget. The
// caller calls release when it has no more use for the answer. If it is not Delimited,
// only its content shows whether it is whole, see CheckWhole.
func ReadWhole(resp *http.Response, limit int64, budget *Budget) (body []byte, release func(), err error) {
	body, release, err = budget.read(resp.Body, limit+1)
	switch {
	case errors.Is(err, errBudget):
		err = codes.Wrap(codes.AnswerInvalid, err, "answer of more than "+strconv.Itoa(len(body))+" bytes")
	case err != nil:
		err = codes.New(codes.StreamBroken, "answer broke off after %d bytes: %v", len(body), err)
	case int64(len(body)) > limit:
		err = codes.New(codes.AnswerInvalid, "answer of more than %d bytes", limit)
	default:
		return body, release, nil
	}
	release()
	return nil, nil, err
}

// Delimited reports whether a truncated answer can be distinguished from a whole
// one. One with neither a length nor chunks ends with its connection.
func Delimited(resp *http.Response) bool {
	if resp.ContentLength >= 0 || resp.ProtoMajor >= 2 {
		return true
	}
	for _, coding := range resp.TransferEncoding {
		if coding == "chunked" {
			return true
		}
	}
	return false
}

type wholeJSON struct {
	ID      string `json:"id"`
	Choices []struct {
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

// CheckWhole checks that body is an engine's finished answer to request.
func CheckWhole(body []byte, request sardine.RequestID) error {
	var answer wholeJSON
	if err := json.Unmarshal(body, &answer); err != nil {
		return codes.New(codes.AnswerInvalid, "answer is not JSON")
	}
	if answer.ID != string(request) {
		return codes.New(codes.AnswerInvalid, "answer belongs to another request than %q", request)
	}
	if len(answer.Choices) == 0 {
		return codes.New(codes.AnswerInvalid, "answer has no choices")
	}
	for _, c := range answer.Choices {
		if c.FinishReason == nil {
			return codes.New(codes.AnswerInvalid, "answer is not finished")
		}
	}
	return nil
}
