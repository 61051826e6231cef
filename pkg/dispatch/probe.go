package dispatch

import (
	"context"
	"fmt"
)

// Probe opens a connection to an upstream and closes it. It returns the error of opening the
// connection, of which IsConnectionRefused tells whether nothing listens there.
func (c *Client) Probe(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := c.opts.Dial(ctx, address)
	if err != nil {
		return fmt.Errorf("connect to %s: %w", address, err)
	}
	if err := conn.Close(); err != nil {
		return fmt.Errorf("close the connection to %s: %w", address, err)
	}
	return nil
}
