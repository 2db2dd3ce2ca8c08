package emulator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiastile/fuchsiastile/internal/framer"
)

func (s *Searcher) reply(w http.ResponseWriter, request framer.Request, body []byte, faults SearcherFaults) {
	if faults.LoseReplies {
		panic(http.ErrAbortHandler)
	}
	if faults.Rubbish {
		_, _ = io.WriteString(w, "\x00\xffrubbish")
		return
	}
	if faults.Crossed {
		request.RequestID += "-crossed"
	}
	if faults.WrongSnapshot {
		request.Snapshot += "-old"
	}
	hits := s.hits(request, body)
	h := w.Header()
	s.setLoadHeaders(h)
	request.Echo(h)
	h.Set(framer.HeaderDigest, framer.Digest(hits))
	h.Set("Content-Length", strconv.Itoa(len(hits)))
	if faults.Truncate {
		_, _ = w.Write(hits[:len(hits)/2])
		return
	}
	if faults.CutAfter > 0 {
		if faults.Unframed {
			h.Del("Content-Length")
		}
		writeCutReply(w, hits, faults.CutAfter)
		return
	}
	_, _ = w.Write(hits)
}

// writeCutReply sends the first bytes of a reply with the headers of w, and closes the
// connection.
func writeCutReply(w http.ResponseWriter, body []byte, length int) {
	var reply bytes.Buffer
	reply.WriteString("HTTP/1.1 200 OK\r\n")
	_ = w.Header().Write(&reply)
	reply.WriteString("\r\n")
	reply.Write(body)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = conn.Write(reply.Bytes()[:min(length, reply.Len())])
	_ = conn.Close()
}

// hits returns three hits whose content depends only on shard, snapshot and query.
func (s *Searcher) hits(request framer.Request, body []byte) []byte {
	hits := make([]framer.Hit, 3)
	for i := range hits {
		sum := xxhash.Sum64String(fmt.Sprint(request.Shard, i, string(body)))
		hits[i] = framer.Hit{
			ID:       fmt.Sprintf("%s-%d", request.Shard, i),
			Score:    float64(sum%1000) / 1000,
			Snapshot: request.Snapshot,
		}
	}
	data, _ := json.Marshal(hits)
	return data
}
