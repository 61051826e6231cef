package dispatch

import (
	"context"
	"net/http"
)

// Do sends a call and returns the complete response, or a *CallError.
func (c *Client) Do(ctx context.Context, call Call) (*BufferedResponse, error) {
	response, err := c.doOnce(ctx, call)
	if callErr, ok := CallErrorOf(err); ok && c.opts.fault == retryTruncated && callErr.Reason == Truncated {
		return c.doOnce(ctx, call)
	}
	return response, err
}

func (c *Client) doOnce(ctx context.Context, call Call) (*BufferedResponse, error) {
	x, err := c.begin(ctx, call, call.Method == http.MethodHead)
	if err != nil {
		return nil, err
	}
	return x.readResponse()
}

func (x *exchange) readResponse() (*BufferedResponse, error) {
	body, err := x.body()
	if err != nil {
		return nil, err
	}
	response := &BufferedResponse{
		Status: x.resp.StatusCode(), ContentType: string(x.resp.Header.ContentType()), Headers: x.forwardedHeaders(), Body: body,
	}
	x.finish()
	return response, nil
}

func (x *exchange) forwardedHeaders() map[string]string {
	var headers map[string]string
	for _, name := range ForwardedHeaders {
		value := x.resp.Header.Peek(name)
		if len(value) == 0 {
			continue
		}
		if headers == nil {
			headers = map[string]string{}
		}
		headers[name] = string(value)
	}
	return headers
}
