package store

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/galenaweir/galenaweir/standin/httpjson"
)

// GenerationTrailer carries the slot's generation after the last byte of a read,
// 0 when the slot was freed meanwhile.
const GenerationTrailer = "Slot-Generation"

// chunkBytes is the unit in which transfers share the link.
const chunkBytes = 16 << 10

// Allocation is the body of POST /v1/slots.
type Allocation struct {
	Key   string `json:"key"`
	Bytes int64  `json:"bytes"`
	Tier  Tier   `json:"tier"`
}

// Commitment is the body of POST /v1/slots/{slot}/commit.
type Commitment struct {
	Generation uint64   `json:"generation"`
	SHA256     [32]byte `json:"sha256"`
}

// Handler serves the store over HTTP.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/slots", s.handleAllocate)
	mux.HandleFunc("PUT /v1/slots/{slot}", s.handleWrite)
	mux.HandleFunc("GET /v1/slots/{slot}", s.handleRead)
	mux.HandleFunc("DELETE /v1/slots/{slot}", func(w http.ResponseWriter, r *http.Request) {
		n, g := slotOf(r)
		reply(w, s.Free(n, g))
	})
	mux.HandleFunc("POST /v1/slots/{slot}/commit", func(w http.ResponseWriter, r *http.Request) {
		var c Commitment
		if httpjson.Read(w, r, &c) {
			n, _ := slotOf(r)
			reply(w, s.Commit(n, c.Generation, c.SHA256))
		}
	})
	mux.HandleFunc("GET /v1/blocks/{key}", func(w http.ResponseWriter, r *http.Request) {
		x, ok := s.Lookup(r.PathValue("key"))
		if !ok {
			httpjson.Error(w, http.StatusNotFound, "no such block")
			return
		}
		httpjson.Write(w, http.StatusOK, x)
	})
	mux.HandleFunc("GET /v1/blocks", func(w http.ResponseWriter, r *http.Request) {
		httpjson.Write(w, http.StatusOK, s.List(r.FormValue("prefix")))
	})
	mux.HandleFunc("GET /v1/usage", func(w http.ResponseWriter, _ *http.Request) { httpjson.Write(w, http.StatusOK, s.Usage()) })
	mux.HandleFunc("POST /v1/faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if httpjson.Read(w, r, &f) {
			s.SetFaults(f)
			httpjson.Write(w, http.StatusOK, f)
		}
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/faults" && s.dead() {
			panic(http.ErrAbortHandler)
		}
		mux.ServeHTTP(w, r)
	})
}

func (s *Store) dead() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Dead
}

// take uses up one of the counted faults.
func (s *Store) take(counter *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if *counter <= 0 {
		return false
	}
	*counter--
	return true
}

// slotOf returns the slot and generation that the request names; malformed ones
// become values that no slot has.
func slotOf(r *http.Request) (int, uint64) {
	n, err := strconv.Atoi(r.PathValue("slot"))
	if err != nil {
		n = -1
	}
	g, err := strconv.ParseUint(r.URL.Query().Get("generation"), 10, 64)
	if err != nil {
		g = 0
	}
	return n, g
}

func reply(w http.ResponseWriter, err error) {
	switch {
	case err == nil:
		w.WriteHeader(http.StatusNoContent)
	case errors.Is(err, errFull):
		httpjson.Error(w, http.StatusInsufficientStorage, err.Error())
	case errors.Is(err, errTier):
		httpjson.Error(w, http.StatusBadRequest, err.Error())
	default:
		httpjson.Error(w, http.StatusConflict, err.Error())
	}
}

func (s *Store) handleAllocate(w http.ResponseWriter, r *http.Request) {
	var a Allocation
	if !httpjson.Read(w, r, &a) {
		return
	}
	x, err := s.Allocate(a.Key, a.Bytes, a.Tier)
	if err != nil {
		reply(w, err)
		return
	}
	httpjson.Write(w, http.StatusCreated, x)
}

// transfer waits until n bytes have passed the link, or the caller has gone.
func (s *Store) transfer(r *http.Request, n int, t Tier) bool {
	d := time.NewTimer(s.book(n, t))
	defer d.Stop()
	select {
	case <-d.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (s *Store) handleWrite(w http.ResponseWriter, r *http.Request) {
	n, g := slotOf(r)
	s.mu.Lock()
	x, err := s.get(n, g)
	s.mu.Unlock()
	if err != nil {
		reply(w, err)
		return
	}
	crash := s.take(&s.faults.CrashWrites)
	buf := make([]byte, chunkBytes)
	for at := 0; ; {
		if crash && at >= len(x.data)/2 {
			panic(http.ErrAbortHandler)
		}
		limit := min(chunkBytes, max(1, len(x.data)/2)) // lets small writes crash half-way, too
		k, err := r.Body.Read(buf[:limit])
		if at+k > len(x.data) || !s.transfer(r, k, x.Tier) {
			httpjson.Error(w, http.StatusBadRequest, "more data than the slot holds")
			return
		}
		s.mu.Lock()
		copy(x.data[at:], buf[:k])
		s.mu.Unlock()
		at += k
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return
		}
	}
	w.WriteHeader(http.StatusNoContent)
}

// handleRead sends what the slot holds while it is read. Nothing locks the slot,
// so the reader must check the trailer.
func (s *Store) handleRead(w http.ResponseWriter, r *http.Request) {
	n, g := slotOf(r)
	s.mu.Lock()
	x, err := s.get(n, g)
	s.mu.Unlock()
	if err != nil {
		reply(w, err)
		return
	}
	crash, flip, reuse := s.take(&s.faults.CrashReads), s.take(&s.faults.FlipBits), s.take(&s.faults.ReuseInReads)
	w.Header().Set("Trailer", GenerationTrailer)
	step := min(chunkBytes, max(1, len(x.data)/2))
	for at := 0; at < len(x.data); {
		if at >= len(x.data)/2 {
			if crash {
				panic(http.ErrAbortHandler)
			}
			if reuse {
				reuse = false
				s.reuse(x)
			}
		}
		b := s.peek(n, at, step)
		if flip {
			b[0] ^= 1
			flip = false
		}
		if !s.transfer(r, len(b), x.Tier) {
			return
		}
		if _, err := w.Write(b); err != nil {
			return
		}
		at += len(b)
		_ = http.NewResponseController(w).Flush()
	}
	w.Header().Set(GenerationTrailer, strconv.FormatUint(s.generationOf(n), 10))
}

// peek copies part of whatever the slot holds now; zeros if it is free.
func (s *Store) peek(n, at, step int) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := make([]byte, step)
	if x := s.slots[n]; x != nil && at < len(x.data) {
		b = b[:min(step, len(x.data)-at)]
		copy(b, x.data[at:])
	}
	return b
}

func (s *Store) generationOf(n int) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if x := s.slots[n]; x != nil {
		return x.Generation
	}
	return 0
}

// reuse frees the slot and gives its place to a block of another key with the
// same bytes, so that only the generation tells them apart.
func (s *Store) reuse(x *slot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.free(x)
	s.generation++
	y := &slot{Slot: x.Slot, data: x.data, committed: true, allocated: s.o.Now()}
	y.Generation, y.Key = s.generation, "reused-"+x.Key
	s.slots[y.Slot.Slot] = y
	s.keys[y.Key] = y
	s.used[y.Tier] += y.Bytes
}
