package trace

import (
	"strconv"
	"strings"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/codes"
)

const hexadecimal = 16

// ID returns the id of a request: the node's name, its incarnation and the number of
// the request on the node, joined by hyphens, the last two in hexadecimal.
func ID(node sardine.NodeID, i sardine.Incarnation, number uint64) sardine.RequestID {
	b := make([]byte, 0, len(node)+24)
	b = append(b, node...)
	b = append(b, '-')
	b = strconv.AppendUint(b, uint64(i), hexadecimal)
	b = append(b, '-')
	b = strconv.AppendUint(b, number, hexadecimal)
	return sardine.RequestID(b)
}

// ParseID returns the parts of an id made by ID. Errors carry codes.BadRequest.
func ParseID(id sardine.RequestID) (sardine.NodeID, sardine.Incarnation, uint64, error) {
	text := string(id)
	last := strings.LastIndexByte(text, '-')
	middle := strings.LastIndexByte(text[:max(last, 0)], '-')
	if middle <= 0 {
		return "", 0, 0, badID(id)
	}
	incarnation, err := strconv.ParseUint(text[middle+1:last], hexadecimal, 64)
	if err != nil {
		return "", 0, 0, badID(id)
	}
	number, err := strconv.ParseUint(text[last+1:], hexadecimal, 64)
	if err != nil {
		return "", 0, 0, badID(id)
	}
	return sardine.NodeID(text[:middle]), sardine.Incarnation(incarnation), number, nil
}

func badID(id sardine.RequestID) error {
	return codes.New(codes.BadRequest, "request id %q: expected NODE-INCARNATION-NUMBER, as in the X-Sardine-Request header of an answer", id)
}
