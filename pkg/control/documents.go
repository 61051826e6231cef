package control

import (
	"context"

	"github.com/masticmount/masticmount/pkg/document"
	"github.com/masticmount/masticmount/pkg/fault"
	"github.com/masticmount/masticmount/pkg/keeper"
	"github.com/masticmount/masticmount/pkg/peerpb"
)

// Replace commits a valid document. It is a no-op without an error when the same or a
// higher version has been committed.
func (c *Control) Replace(ctx context.Context, version uint64, content []byte) error {
	if c.documentVersion() >= version {
		c.opts.Log.Info().Uint64("version", version).Uint64("held", c.documentVersion()).Msg("document_overtaken")
		return nil
	}
	packed, err := document.Pack(content)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	change := &peerpb.DocumentChange{Version: version, Content: packed}
	resp, err := c.opts.Keeper.Propose(ctx, &peerpb.ProposeRequest{
		Command: &peerpb.Command{Body: &peerpb.Command_DocumentChange{DocumentChange: change}},
	})
	if err != nil {
		f := keeper.FaultOf(err)
		c.opts.Log.Warn().Err(f).Uint64("version", version).Msg("document_not_committed")
		return f
	}
	c.opts.Log.Info().Uint64("version", version).Uint64("in_force", resp.GetResult().GetDocumentVersion()).Msg("document_committed")
	return nil
}

func (c *Control) documentVersion() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.content.GetVersion()
}

// Read returns the newest committed document, confirmed by a quorum read.
func (c *Control) Read(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	var change *peerpb.DocumentChange
	if err := c.opts.Keeper.ReadConfirmed(ctx, func() { change = c.opts.Machine.Document() }); err != nil {
		return nil, err
	}
	if change == nil {
		return nil, fault.New(fault.NotReady, "send a document first", "there is no configuration document yet")
	}
	return document.Unpack(change.GetContent())
}
