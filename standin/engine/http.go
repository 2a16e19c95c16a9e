package engine

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/galenaweir/galenaweir/core/prefix"
	"github.com/galenaweir/galenaweir/standin/httpjson"
)

// WeightLoadOrder is the body of POST /v1/orders: a command to load a weight version.
type WeightLoadOrder struct {
	FencingToken  int64  `json:"fencing"`
	WeightVersion string `json:"weight_version"`
}

// Handler serves the engine over HTTP.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.handleCompletion)
	mux.HandleFunc("GET /v1/requests/{id}/stream", e.handleResume)
	mux.HandleFunc("DELETE /v1/requests/{id}", func(w http.ResponseWriter, r *http.Request) {
		if !e.Cancel(r.PathValue("id")) {
			httpjson.Error(w, http.StatusNotFound, "no such request")
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET /v1/load", func(w http.ResponseWriter, _ *http.Request) { httpjson.Write(w, http.StatusOK, e.LoadReport()) })
	mux.HandleFunc("GET /v1/state", func(w http.ResponseWriter, _ *http.Request) { httpjson.Write(w, http.StatusOK, e.State()) })
	mux.HandleFunc("GET /v1/cache/events", e.handleEvents)
	mux.HandleFunc("GET /v1/kv/{block}", e.handleExport)
	mux.HandleFunc("PUT /v1/kv/{block}", e.handleImport)
	mux.HandleFunc("POST /v1/orders", e.handleOrder)
	mux.HandleFunc("POST /v1/evict", func(w http.ResponseWriter, _ *http.Request) {
		e.EvictAll()
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("POST /v1/faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if httpjson.Read(w, r, &f) {
			e.SetFaults(f)
			httpjson.Write(w, http.StatusOK, f)
		}
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/faults" && e.currentFaults().Down {
			panic(http.ErrAbortHandler)
		}
		mux.ServeHTTP(w, r)
	})
}

func (e *Engine) currentFaults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// State returns the engine's current state.
func (e *Engine) State() State {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state
}

func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request) {
	var req Request
	if !httpjson.Read(w, r, &req) {
		return
	}
	s, err := e.Submit(req)
	if err != nil {
		httpjson.Error(w, http.StatusConflict, err.Error())
		return
	}
	e.serveStream(w, r, s, req.FromSeq)
}

func (e *Engine) handleResume(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.FormValue("from_seq"), 10, 64)
	if err != nil {
		httpjson.Error(w, http.StatusBadRequest, "from_seq must be a sequence number")
		return
	}
	e.mu.Lock()
	s, ok := e.sequences[r.PathValue("id")]
	e.mu.Unlock()
	if !ok {
		httpjson.Error(w, http.StatusNotFound, "no such request")
		return
	}
	e.serveStream(w, r, s, from)
}

// framesFrom returns the frames from seq on, whether the sequence has ended, and a
// channel that is closed at the next change.
func (e *Engine) framesFrom(s *sequence, seq uint64) (frames []Frame, ended bool, changed <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if seq < uint64(len(s.frames)) {
		frames = s.frames[seq:]
	}
	return frames, s.ended, s.changed
}

// consumeSilentFault reports whether the silent-stream fault applies to a new
// stream, and counts that stream against the fault.
func (e *Engine) consumeSilentFault() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.SilentStreams > 0 {
		e.faults.SilentStreams--
		return true
	}
	return false
}

// silentStreamFrames is the number of frames that a silent stream sends before it
// stops.
const silentStreamFrames = 3

// serveStream sends the sequence's frames from seq on as server-sent events until the
// sequence has ended or the client disconnects.
func (e *Engine) serveStream(w http.ResponseWriter, r *http.Request, s *sequence, seq uint64) {
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	silent := e.consumeSilentFault()
	ticker := time.NewTicker(e.options.KeepAliveInterval)
	defer ticker.Stop()
	sent := 0
	for {
		frames, ended, changed := e.framesFrom(s, seq)
		for _, f := range frames {
			if silent && sent >= silentStreamFrames {
				<-r.Context().Done()
				return
			}
			if e.consumeCutFault(s, sent) {
				panic(http.ErrAbortHandler)
			}
			writeFrame(w, f, e.currentFaults().WrongAttemptID)
			seq++
			sent++
		}
		if ended {
			_, _ = io.WriteString(w, "data: [DONE]\n\n")
			return
		}
		if rc.Flush() != nil {
			return
		}
		select {
		case <-changed:
		case <-ticker.C:
			_, _ = io.WriteString(w, ": keep-alive\n\n")
		case <-r.Context().Done():
			return
		}
	}
}

// consumeCutFault reports whether the connection must be cut after the sent frames,
// and records that the fault was applied to the sequence.
func (e *Engine) consumeCutFault(s *sequence, sent int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.CutAfterFrames == 0 || s.cutApplied || sent < e.faults.CutAfterFrames {
		return false
	}
	s.cutApplied = true
	return true
}

func writeFrame(w io.Writer, f Frame, wrongID bool) {
	if wrongID {
		f.ID = "another-" + f.ID
	}
	b, _ := json.Marshal(f) // encoding a Frame cannot fail
	_, _ = fmt.Fprintf(w, "data: %s\n\n", b)
}

func (e *Engine) handleEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	events := []CacheEvent{}
	for _, ev := range e.cache.events {
		if ev.Seq > after && !e.faults.DropEvents {
			events = append(events, ev)
		}
	}
	httpjson.Write(w, http.StatusOK, events)
}

func parseBlockHash(w http.ResponseWriter, r *http.Request) (h prefix.Hash, ok bool) {
	b, err := hex.DecodeString(r.PathValue("block"))
	if err != nil || len(b) != len(h) {
		httpjson.Error(w, http.StatusBadRequest, "block must be 32 hex digits")
		return h, false
	}
	return prefix.Hash(b), true
}

func (e *Engine) handleExport(w http.ResponseWriter, r *http.Request) {
	h, ok := parseBlockHash(w, r)
	if !ok {
		return
	}
	e.mu.Lock()
	held := e.cache.lookup(h)
	version := e.state.WeightVersion
	e.mu.Unlock()
	if !held {
		httpjson.Error(w, http.StatusNotFound, "the block is not cached")
		return
	}
	w.Header().Set("Weight-Version", version)
	_, _ = w.Write(PieceData(h, e.options.PieceBytes))
}

// handleImport adds a piece to the cache. It also accepts data of another piece, but
// counts such imports, so that a test can detect them.
func (e *Engine) handleImport(w http.ResponseWriter, r *http.Request) {
	h, ok := parseBlockHash(w, r)
	if !ok {
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 64<<20))
	if err != nil {
		httpjson.Error(w, http.StatusBadRequest, err.Error())
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if v := r.FormValue("weight_version"); v != e.state.WeightVersion {
		httpjson.Error(w, http.StatusConflict, errWeightVersion.Error())
		return
	}
	if !bytes.Equal(data, PieceData(h, e.options.PieceBytes)) {
		e.state.BadImports++
	}
	e.cache.add(h)
	w.WriteHeader(http.StatusNoContent)
}

// handleOrder starts to load a weight version. Running sequences keep the version
// that they started with.
func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o WeightLoadOrder
	if !httpjson.Read(w, r, &o) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.ChecksFencing && o.FencingToken <= e.state.FencingToken {
		httpjson.Error(w, http.StatusConflict, fmt.Sprintf("fencing number %d is not above %d", o.FencingToken, e.state.FencingToken))
		return
	}
	e.state.FencingToken = max(e.state.FencingToken, o.FencingToken)
	if o.WeightVersion != e.state.WeightVersion && !e.state.Loading {
		e.state.Loading = true
		time.AfterFunc(e.options.WeightLoadTime, func() { e.finishWeightLoad(o.WeightVersion) })
	}
	httpjson.Write(w, http.StatusAccepted, e.state)
}

func (e *Engine) finishWeightLoad(version string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.Loading = false
	e.state.WeightVersion = version
	e.cache.clear()
}
