package store

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/galenaweir/galenaweir/standin/httpjson"
)

// GenerationTrailer is the trailer of a read with the slot's generation after the
// last byte. It is 0 if the slot has been freed in the meantime.
const GenerationTrailer = "Slot-Generation"

// chunkBytes is the size of the chunks in which concurrent transfers share the
// link.
const chunkBytes = 16 << 10

// AllocateRequest is the body of POST /v1/slots.
type AllocateRequest struct {
	Key   string `json:"key"`
	Bytes int64  `json:"bytes"`
	Tier  Tier   `json:"tier"`
}

// CommitRequest is the body of POST /v1/slots/{slot}/commit.
type CommitRequest struct {
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
		n, g := parseSlot(r)
		writeStatus(w, s.Free(n, g))
	})
	mux.HandleFunc("POST /v1/slots/{slot}/commit", func(w http.ResponseWriter, r *http.Request) {
		var c CommitRequest
		if httpjson.Read(w, r, &c) {
			n, _ := parseSlot(r)
			writeStatus(w, s.Commit(n, c.Generation, c.SHA256))
		}
	})
	mux.HandleFunc("GET /v1/blocks/{key}", func(w http.ResponseWriter, r *http.Request) {
		sl, ok := s.Lookup(r.PathValue("key"))
		if !ok {
			httpjson.Error(w, http.StatusNotFound, "no such block")
			return
		}
		httpjson.Write(w, http.StatusOK, sl)
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
		if r.URL.Path != "/v1/faults" && s.isDead() {
			panic(http.ErrAbortHandler)
		}
		mux.ServeHTTP(w, r)
	})
}

func (s *Store) isDead() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Dead
}

// consumeFault reports whether the counted fault applies, and decrements its
// counter.
func (s *Store) consumeFault(counter *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if *counter <= 0 {
		return false
	}
	*counter--
	return true
}

// parseSlot returns the slot number and the generation in the request. A malformed
// number becomes -1 and a malformed generation 0, which no slot has.
func parseSlot(r *http.Request) (int, uint64) {
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

func writeStatus(w http.ResponseWriter, err error) {
	switch {
	case err == nil:
		w.WriteHeader(http.StatusNoContent)
	case errors.Is(err, errTierFull):
		httpjson.Error(w, http.StatusInsufficientStorage, err.Error())
	case errors.Is(err, errInvalidTier):
		httpjson.Error(w, http.StatusBadRequest, err.Error())
	default:
		httpjson.Error(w, http.StatusConflict, err.Error())
	}
}

func (s *Store) handleAllocate(w http.ResponseWriter, r *http.Request) {
	var a AllocateRequest
	if !httpjson.Read(w, r, &a) {
		return
	}
	sl, err := s.Allocate(a.Key, a.Bytes, a.Tier)
	if err != nil {
		writeStatus(w, err)
		return
	}
	httpjson.Write(w, http.StatusCreated, sl)
}

// waitTransfer waits until n bytes have been transferred. It returns false if the
// client disconnects first.
func (s *Store) waitTransfer(r *http.Request, n int, t Tier) bool {
	d := time.NewTimer(s.reserveTransfer(n, t))
	defer d.Stop()
	select {
	case <-d.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (s *Store) handleWrite(w http.ResponseWriter, r *http.Request) {
	n, g := parseSlot(r)
	s.mu.Lock()
	sl, err := s.slotAt(n, g)
	s.mu.Unlock()
	if err != nil {
		writeStatus(w, err)
		return
	}
	crash := s.consumeFault(&s.faults.CrashWrites)
	buf := make([]byte, chunkBytes)
	for offset := 0; ; {
		if crash && offset >= len(sl.data)/2 {
			panic(http.ErrAbortHandler)
		}
		limit := min(chunkBytes, max(1, len(sl.data)/2)) // so that small writes can also crash half-way
		count, err := r.Body.Read(buf[:limit])
		if offset+count > len(sl.data) || !s.waitTransfer(r, count, sl.Tier) {
			httpjson.Error(w, http.StatusBadRequest, "more data than the slot holds")
			return
		}
		s.mu.Lock()
		copy(sl.data[offset:], buf[:count])
		s.mu.Unlock()
		offset += count
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return
		}
	}
	w.WriteHeader(http.StatusNoContent)
}

// handleRead sends the slot's data chunk by chunk. The slot is not locked during
// the read and may be reused, so the client must check the generation in the
// trailer.
func (s *Store) handleRead(w http.ResponseWriter, r *http.Request) {
	n, g := parseSlot(r)
	s.mu.Lock()
	sl, err := s.slotAt(n, g)
	s.mu.Unlock()
	if err != nil {
		writeStatus(w, err)
		return
	}
	crash, flip, reuse := s.consumeFault(&s.faults.CrashReads), s.consumeFault(&s.faults.FlipBits), s.consumeFault(&s.faults.ReuseInReads)
	w.Header().Set("Trailer", GenerationTrailer)
	chunk := min(chunkBytes, max(1, len(sl.data)/2))
	for offset := 0; offset < len(sl.data); {
		if offset >= len(sl.data)/2 {
			if crash {
				panic(http.ErrAbortHandler)
			}
			if reuse {
				reuse = false
				s.reuseSlot(sl)
			}
		}
		b := s.readSlot(n, offset, chunk)
		if flip {
			b[0] ^= 1
			flip = false
		}
		if !s.waitTransfer(r, len(b), sl.Tier) {
			return
		}
		if _, err := w.Write(b); err != nil {
			return
		}
		offset += len(b)
		_ = http.NewResponseController(w).Flush()
	}
	w.Header().Set(GenerationTrailer, strconv.FormatUint(s.currentGeneration(n), 10))
}

// readSlot returns a copy of a part of the slot's current data, or zeros if the
// slot is free.
func (s *Store) readSlot(n, offset, length int) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := make([]byte, length)
	if sl := s.slots[n]; sl != nil && offset < len(sl.data) {
		b = b[:min(length, len(sl.data)-offset)]
		copy(b, sl.data[offset:])
	}
	return b
}

func (s *Store) currentGeneration(n int) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sl := s.slots[n]; sl != nil {
		return sl.Generation
	}
	return 0
}

// reuseSlot frees the slot and reuses its number for a block with another key and
// the same data, so that a reader can detect the change by the generation only.
func (s *Store) reuseSlot(old *slot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.free(old)
	s.generation++
	reused := &slot{Slot: old.Slot, data: old.data, committed: true, allocatedAt: s.options.Now()}
	reused.Generation, reused.Key = s.generation, "reused-"+old.Key
	s.slots[reused.Slot.Number] = reused
	s.committedSlots[reused.Key] = reused
	s.usedBytes[reused.Tier] += reused.Bytes
}
