package proxy

import (
	"net/http"
	"strings"
)

// hopHeaders are the hop-by-hop header fields, which are not forwarded (RFC 9110,
// 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEndHeader returns a copy of a header without the hop-by-hop fields and without the
// length, which the writer of the forwarded message sets.
func EndToEndHeader(from http.Header) http.Header {
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
