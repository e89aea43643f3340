package proxy

import (
	"context"
	"io"
	"net/http"
	"runtime/metrics"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	sardine "sardineswitch.dev/sardine"
	"sardineswitch.dev/sardine/clock"
	"sardineswitch.dev/sardine/pool"
)

const (
	// nodeMemory is the memory of the smallest entry nodes, in bytes.
	nodeMemory = 184 << 20
	// floodsEach is the number of concurrent exchanges for each form of answer. All
	// forms together are the requests of an entry node at peak load.
	floodsEach = 25
)

// floods are endless answers, or endless data in place of an answer.
var floods = []string{
	`ENDLESSHTTP/1.1 200 O`,
	`HTTP/1.1 200 OK\r\nX: ENDLESSyyyyyyyyyyyyyyyy`,
	`HTTP/1.1 200 OK\r\nENDLESSa:b\r\n`,
	`ENDLESSHTTP/1.1 103 Early Hints\r\nLink: FILL=8000\r\n\r\n`,
	`HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\n5;ENDLESSx`,
	`HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nENDLESSa: b\r\n`,
	`HTTP/1.1 200 OK\r\nId: r\r\n\r\nENDLESSdata: on and on`,
	`HTTP/1.1 200 OK\r\nId: r\r\n\r\nENDLESS: a comment\n\n`,
	`HTTP/1.1 200 OK\r\nId: r\r\n\r\nENDLESS\n`,
	`HTTP/1.1 200 OK\r\nId: r\r\n\r\nENDLESSid: 1\n`,
	`HTTP/1.1 200 OK\r\nId: old\r\n\r\nENDLESSfull`,
}

// Targets that send endless answers must not exhaust an entry node's memory. The
// test reads from many of them at once and requires that the peak memory of the
// process, senders included, is below half of the smallest node's memory.
func TestEndlessAnswersUseBoundedMemory(t *testing.T) {
	k := clock.NewReal()
	p := pool.New(k)
	defer p.Close()
	client := NewClient(p, scriptPort{})
	var readers sync.WaitGroup
	for _, text := range floods {
		for range floodsEach {
			target := newScriptTarget(t, []string{unescape(text)})
			readers.Go(func() { readFlood(client, k, target.listener.Addr().String()) })
		}
	}
	done := make(chan struct{})
	go func() {
		readers.Wait()
		close(done)
	}()
	most := uint64(0)
	for ended := false; !ended; {
		select {
		case <-done:
			ended = true
		case <-time.After(2 * time.Millisecond):
		}
		most = max(most, memoryUsed())
	}
	t.Logf("%d exchanges used %d MB", len(floods)*floodsEach, most>>20)
	require.Less(t, most, uint64(nodeMemory/2), "bytes")
}

// readFlood reads a target's answer until the client aborts it.
func readFlood(client *Client, k sardine.Clock, address string) {
	answer, failed := client.Open(context.Background(), Exchange{
		MustName: true, Address: address, Deadline: k.Now() + sardine.Second,
		Request:  pool.Request{Method: http.MethodGet, Path: "/", Host: "h", Header: http.Header{}},
		Dispatch: sardine.Dispatch{Request: "r"},
	})
	if failed != nil {
		return
	}
	defer answer.Close(false)
	events := NewEvents(answer.Response.Body)
	for {
		if _, err := events.Next(); err != nil {
			return
		}
	}
}

// memoryUsed returns the bytes that the process obtained from the operating system
// and did not return.
func memoryUsed() uint64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	return samples[0].Value.Uint64() - samples[1].Value.Uint64()
}

// A stream that only keeps its connection open must end with an error after
// maxIdleBytes.
func TestEventsWithoutContentAreBounded(t *testing.T) {
	for _, unit := range []string{": a comment\n\n", "\n\n", "id: 7\n\n", "event: ping\n\n", "retry: 5\r\n\r\n"} {
		events := NewEvents(&repeating{unit: unit})
		read := 0
		for {
			e, err := events.Next()
			if err != nil {
				break
			}
			require.False(t, e.HasData, strconv.Quote(unit))
			read += len(e.Raw)
		}
		require.LessOrEqual(t, read, maxIdleBytes, strconv.Quote(unit))
	}
}

// repeating is a reader that returns the same text repeatedly.
type repeating struct {
	unit string
	at   int
}

func (r *repeating) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = r.unit[r.at]
		r.at = (r.at + 1) % len(r.unit)
	}
	return len(p), nil
}

// FuzzAnswers sends arbitrary bytes as the answer to a request on a new connection.
// An accepted answer must name the request.
func FuzzAnswers(f *testing.F) {
	for _, text := range append(floods, `HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 2\r\n\r\nok`,
		`HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\nfull`,
		`HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 3\r\n\r\noldHTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 3\r\n\r\nnew`) {
		f.Add(unescape(text))
	}
	k := clock.NewReal()
	f.Fuzz(func(t *testing.T, text string) {
		p := pool.New(k)
		defer p.Close()
		target := newScriptTarget(t, []string{text + "CLOSE"})
		answer, failed := NewClient(p, scriptPort{}).Open(context.Background(), Exchange{
			MustName: true, Address: target.listener.Addr().String(), Deadline: k.Now() + 2*sardine.Second,
			Request:  pool.Request{Method: http.MethodGet, Path: "/", Host: "h", Header: http.Header{}},
			Dispatch: sardine.Dispatch{Request: "r"},
		})
		if failed != nil {
			return
		}
		require.Equal(t, sardine.RequestID("r"), answer.Reply.Request)
		n, err := io.Copy(io.Discard, io.LimitReader(answer.Response.Body, maxEvent))
		answer.Close(err == nil && n < maxEvent)
	})
}
