package forward

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/masticmount/masticmount/pkg/fault"
)

const (
	// defaultBodyMemory is the bound on the memory of all bodies where none is set: a quarter of the smallest VM's memory.
	defaultBodyMemory = 64 << 20
	// unidentifiedBodyBytes is the size up to which a body is read before the request's route and client account are known.
	unidentifiedBodyBytes = 64 << 10
	// initialBodyBytes is the initial buffer for a body of unknown length.
	initialBodyBytes = 4 << 10
	// maxDiscardedBytes bounds what is read of a body that is not accepted; the connection of a longer one is closed.
	maxDiscardedBytes = 2 * maxBodyBytes
	// holdTimeWeight is the weight of the newest body in the mean time for which bodies are held.
	holdTimeWeight = 0.05
)

var (
	errBodyMemory  = errors.New("the bodies of open requests leave too little memory")
	errBodyTooLong = errors.New("the body is longer than any route allows")
)

// bodyMemory bounds the memory of all request bodies that are being read or held. It is safe for concurrent use.
type bodyMemory struct {
	limit int64
	held  atomic.Int64
	// holdTime is the mean time for which bodies are held, in nanoseconds; 0 before the first one was released.
	holdTime atomic.Int64
}

// reserve takes n bytes. It fails unless as much is left after it, so that longer bodies fail before shorter ones.
func (m *bodyMemory) reserve(n int64) bool {
	for {
		held := m.held.Load()
		if held+2*n > m.limit {
			return false
		}
		if m.held.CompareAndSwap(held, held+n) {
			return true
		}
	}
}

func (m *bodyMemory) release(n int64) { m.held.Add(-n) }

// recordHold updates the mean time for which bodies are held. Of several calls at once some may be lost, which the mean bears.
func (m *bodyMemory) recordHold(took time.Duration) {
	mean := m.holdTime.Load()
	if mean == 0 {
		mean = int64(took)
	}
	m.holdTime.Store(mean + int64(holdTimeWeight*float64(int64(took)-mean)))
}

// expectedWait is the time until n bytes can be reserved: what has to be released before, at the rate at which bodies are. Without a
// release so far the bodies are assumed to be held for as long again as the memory is in use.
func (m *bodyMemory) expectedWait(n int64, inUse time.Duration) time.Duration {
	held := m.held.Load()
	if held <= 0 {
		return 0
	}
	hold := time.Duration(m.holdTime.Load())
	if hold == 0 {
		hold = inUse
	}
	missing := min(max(held+2*n-m.limit, 0), held)
	return time.Duration(float64(hold) * float64(missing) / float64(held))
}

// body is a request's body. Its bytes are never modified: sends may read them until they end. A body is used by one
// goroutine at a time.
type body struct {
	memory   *bodyMemory
	bytes    []byte
	released bool
	// heldSince is when the first memory was reserved for it.
	heldSince time.Time
}

// release gives the body's memory back once it will not be sent again.
func (b *body) release() {
	b.memory.release(int64(cap(b.bytes)))
	if !b.released && !b.heldSince.IsZero() {
		b.memory.recordHold(time.Since(b.heldSince))
	}
	b.bytes, b.released = nil, true
}

// grow moves the body to a buffer of the given size.
func (b *body) grow(size int) bool {
	if !b.memory.reserve(int64(size)) {
		return false
	}
	if b.heldSince.IsZero() {
		b.heldSince = time.Now()
	}
	larger := append(make([]byte, 0, size), b.bytes...)
	b.memory.release(int64(cap(b.bytes)))
	b.bytes = larger
	return true
}

// read reads a body of the given length; a negative one is unknown. Memory for a known length is reserved before any byte is
// read, so that a body that is being read is never dropped for others.
func (b *body) read(stream io.Reader, length int) error {
	size := length
	if length < 0 {
		size = initialBodyBytes
	}
	if !b.grow(size) {
		return errBodyMemory
	}
	for length < 0 || len(b.bytes) < length {
		if len(b.bytes) == cap(b.bytes) {
			if len(b.bytes) > maxBodyBytes {
				return errBodyTooLong
			}
			if !b.grow(min(2*cap(b.bytes), maxBodyBytes+1)) {
				return errBodyMemory
			}
		}
		n, err := stream.Read(b.bytes[len(b.bytes):cap(b.bytes)])
		b.bytes = b.bytes[:len(b.bytes)+n]
		switch {
		case errors.Is(err, io.EOF) && len(b.bytes) < length:
			return io.ErrUnexpectedEOF
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
	return nil
}

// readBody reads the body of a request. A body that is not accepted is discarded as it arrives: a connection that is closed
// before would be reset, and the caller might not get the refusal.
func (e *Entry) readBody(ctx *fasthttp.RequestCtx) (*body, *fault.Error) {
	b := &body{memory: &e.bodies}
	stream := ctx.RequestBodyStream()
	if stream == nil {
		return b, nil
	}
	length := ctx.Request.Header.ContentLength()
	refusal := e.checkLength(&ctx.Request.Header, length)
	if refusal == nil {
		err := b.read(stream, length)
		if err == nil {
			return b, nil
		}
		b.release()
		if refusal = e.bodyRefusal(length, err); refusal.Kind != fault.Overloaded && refusal.Kind != fault.TooLarge {
			ctx.Response.SetConnectionClose()
			return b, refusal
		}
	}
	if _, err := io.CopyN(io.Discard, stream, maxDiscardedBytes); !errors.Is(err, io.EOF) {
		ctx.Response.SetConnectionClose()
	}
	return b, refusal
}

// checkLength refuses a long body that would be refused after it was read.
func (e *Entry) checkLength(h *fasthttp.RequestHeader, length int) *fault.Error {
	if length >= 0 && length <= unidentifiedBodyBytes {
		return nil
	}
	r, doc, refusal := e.identify(h)
	if refusal != nil {
		return refusal
	}
	if refusal = checkBodySize(min(doc.Limits.MaxBodyBytes, maxBodyBytes), length); refusal != nil {
		return e.denied(r.configAge, refusal)
	}
	return nil
}

// checkBodySize refuses a body that is longer than a limit; 0 is the limit of any body.
func checkBodySize(limit, size int) *fault.Error {
	if limit <= 0 {
		limit = maxBodyBytes
	}
	if size <= limit {
		return nil
	}
	return fault.New(fault.TooLarge, "send a smaller body", "the body has %d bytes, %d are allowed", size, limit)
}

// bodyRefusal is the answer to a request whose body was not read to its end.
func (e *Entry) bodyRefusal(length int, err error) *fault.Error {
	var netErr net.Error
	switch {
	case errors.Is(err, errBodyMemory):
		e.opts.Metrics.Add("requests.bodies_refused", 1)
		return fault.New(fault.Overloaded, "retry after the time in Retry-After, or send a smaller body", "the bodies of open requests hold %d of %d bytes, which leaves too little for this one (length %d)",
			e.bodies.held.Load(), e.bodies.limit, length).WithRetryAfter(max(e.bodies.expectedWait(int64(max(length, initialBodyBytes)), time.Since(e.startedAt)), minRetryAfter))
	case errors.Is(err, errBodyTooLong):
		return checkBodySize(maxBodyBytes, maxBodyBytes+1)
	case errors.As(err, &netErr) && netErr.Timeout():
		return fault.New(fault.SlowRequest, "send the request faster", "the request was not received within %s", readTimeout)
	default:
		return fault.New(fault.InvalidRequest, "send the whole body", "the body was not received: %v", err)
	}
}
