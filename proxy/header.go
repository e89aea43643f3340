package proxy

import (
	"net/http"
	"strings"
)

// hopHeaders concern one connection and are not passed on (RFC 9110, 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEnd returns a copy of a header without the fields that concern one
// connection and the length, which whoever writes the message sets.
func EndToEnd(from http.Header) http.Header {
	to := make(http.Header, len(from))
	for name, values := range from {
		to[name] = append([]string(nil), values...)
	}
	for _, named := range from.Values("Connection") {
		for _, name := range strings.Split(named, ",") {
			to.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		to.Del(name)
	}
	to.Del("Content-Length")
	return to
}
