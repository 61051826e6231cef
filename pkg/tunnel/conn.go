package tunnel

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
)

// The bytes of the upstream come over a tunnel in frames: two bytes of length, then as many bytes. A frame of length 0 is
// the orderly end. Without it the end of the connection is that of the other entry, which must not look like the end of an
// answer. The other direction is not framed: an entry never ends only its own side.
const frameHeaderBytes = 2

// errTunnelLost means that a tunnel ended with the other entry. It counts as a reset of the connection.
var errTunnelLost = fmt.Errorf("the entry that held the tunnel ended: %w", syscall.ECONNRESET)

// tunnelConn is the entry's end of a tunnel. It reads no further than the frame that is asked for, so that what has
// arrived unasked can be seen at the socket.
type tunnelConn struct {
	*net.TCPConn
	// peerKey is the key of the process that holds the tunnel.
	peerKey string
	header  [frameHeaderBytes]byte
	// headerRead is the number of bytes of the header that were read, left the number of bytes of the frame that were
	// not.
	headerRead, left int
	ended            bool
}

// Read implements net.Conn.
func (c *tunnelConn) Read(p []byte) (int, error) {
	for c.left == 0 {
		if c.ended {
			return 0, io.EOF
		}
		if err := c.readHeader(); err != nil {
			return 0, err
		}
	}
	n, err := c.TCPConn.Read(p[:min(len(p), c.left)])
	c.left -= n
	if n > 0 {
		return n, nil
	}
	return 0, lostAtEOF(err)
}

func (c *tunnelConn) readHeader() error {
	n, err := c.TCPConn.Read(c.header[c.headerRead:])
	c.headerRead += n
	if c.headerRead == frameHeaderBytes {
		c.headerRead, c.left = 0, int(binary.BigEndian.Uint16(c.header[:]))
		c.ended = c.left == 0
		return nil
	}
	return lostAtEOF(err)
}

func lostAtEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return errTunnelLost
	}
	return err
}

// copyFrames copies what an upstream sends to the other entry, in frames. It returns true after an orderly end, of which
// wasReset is asked first.
func copyFrames(entry io.Writer, upstream io.Reader, wasReset func() bool) bool {
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := upstream.Read(buf[frameHeaderBytes:])
		if n > 0 {
			binary.BigEndian.PutUint16(buf, uint16(n))
			if _, err := entry.Write(buf[:frameHeaderBytes+n]); err != nil {
				return false
			}
		}
		if errors.Is(err, io.EOF) && !wasReset() {
			_, err = entry.Write(make([]byte, frameHeaderBytes))
			return err == nil
		}
		if err != nil {
			return false
		}
	}
}
