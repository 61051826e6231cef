package dispatch

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/masticmount/masticmount/pkg/api"
)

// OrderPath is the path at which engines accept orders.
const OrderPath = "/masticmount/order"

// orderTimeout bounds how long an engine may take to accept an order.
const orderTimeout = time.Second

// SendOrder sends an order to an engine, within orderTimeout or until ctx ends.
func (c *Client) SendOrder(ctx context.Context, address string, order api.Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return fmt.Errorf("encode order: %w", err)
	}
	deadline := time.Now().Add(orderTimeout)
	if sooner, ok := ctx.Deadline(); ok && sooner.Before(deadline) {
		deadline = sooner
	}
	response, err := c.Do(ctx, Call{
		RequestID: fmt.Sprintf("order-%d-%d", order.Fence, order.Generation), Address: address,
		Method: http.MethodPost, Path: OrderPath, ContentType: "application/json", Body: body,
		Deadline: deadline,
	})
	if err != nil {
		return err
	}
	if response.Status != http.StatusOK {
		return fmt.Errorf("engine %s refused order of generation %d: status %d", address, order.Generation, response.Status)
	}
	return nil
}
