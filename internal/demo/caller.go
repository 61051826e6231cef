package demo

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/masticmount/masticmount/pkg/fault"
	"github.com/masticmount/masticmount/pkg/httphead"
)

// requestTimeout bounds one request of the demo.
const requestTimeout = 30 * time.Second

// caller sends requests as a client account.
type caller struct {
	token string
	http  *fasthttp.Client
}

func newCaller(token string) *caller {
	return &caller{token: token, http: &fasthttp.Client{
		StreamResponseBody: true,
		Dial:               httphead.Dial(nil),
		MaxConnsPerHost:    1024,
		RetryIfErr:         func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}
}

// reply is a complete response.
type reply struct {
	status  int
	outcome fault.Outcome
	body    []byte
}

func (c *caller) send(method, address, path, key string, body []byte) (reply, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	c.fill(req, method, address, path, key, body)
	if err := c.http.DoTimeout(req, resp, requestTimeout); err != nil {
		return reply{}, fmt.Errorf("%s %s%s: %w", method, address, path, err)
	}
	var read bytes.Buffer
	if err := resp.BodyWriteTo(&read); err != nil {
		return reply{}, fmt.Errorf("%s %s%s: %w", method, address, path, err)
	}
	outcome := fault.Outcome(resp.Header.Peek(fault.OutcomeHeader))
	return reply{status: resp.StatusCode(), outcome: outcome, body: read.Bytes()}, nil
}

func (c *caller) fill(req *fasthttp.Request, method, address, path, key string, body []byte) {
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + address + path)
	req.Header.Set("Authorization", "Bearer "+c.token)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	if body != nil {
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(body)
	}
}

// chunk holds the fields of a streamed event that the demo reads.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// unexpectedTokenError reports a stream with a missing token, a repeated token or a
// token of another stream.
type unexpectedTokenError struct{ address, got, want string }

// Error implements error.
func (e *unexpectedTokenError) Error() string {
	return fmt.Sprintf("stream through %s has token %q, want %q", e.address, e.got, e.want)
}

// stream requests a caption and returns the number of tokens received before
// [DONE]; started is called at the first token.
func (c *caller) stream(address string, tokens int, started func()) (int, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	body := fmt.Appendf(nil, `{"model":"captioner","stream":true,"max_tokens":%d,`+
		`"messages":[{"role":"user","content":"Describe clip %d"}]}`, tokens, tokens)
	c.fill(req, fasthttp.MethodPost, address, "/v1/chat/completions", "", body)
	if err := c.http.DoTimeout(req, resp, requestTimeout); err != nil {
		return 0, fmt.Errorf("stream through %s: %w", address, err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return 0, fmt.Errorf("stream through %s: status %d: %s", address, resp.StatusCode(), resp.Body())
	}
	received := 0
	lines := bufio.NewScanner(resp.BodyStream())
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			return received, nil
		}
		var event chunk
		if err := json.Unmarshal(data, &event); err != nil || len(event.Choices) == 0 {
			return received, fmt.Errorf("stream through %s: malformed event %s", address, data)
		}
		content := event.Choices[0].Delta.Content
		if content == "" {
			continue
		}
		if want := fmt.Sprintf("w%d ", received); content != want {
			return received, &unexpectedTokenError{address, content, want}
		}
		if received == 0 && started != nil {
			started()
		}
		received++
	}
	return received, fmt.Errorf("stream through %s truncated after %d tokens", address, received)
}
