package gateway

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/gofiber/fiber/v3"

	"github.com/masticmount/masticmount/pkg/fault"
)

const (
	// maxTokens limits max_tokens of a request.
	maxTokens = 1 << 20
	// defaultTokens is the assumed size of an answer without max_tokens.
	defaultTokens = 256
	// maxPromptBytes is the length of the message prefix used for prefix affinity.
	maxPromptBytes = 8 << 10
)

// chatBody is the part of a chat completion request that the gateway reads.
type chatBody struct {
	Model     string          `json:"model"`
	Stream    bool            `json:"stream"`
	MaxTokens int             `json:"max_tokens"`
	Choices   int             `json:"n"`
	Messages  json.RawMessage `json:"messages"`
}

// parseChat decodes and validates a chat completion request.
func parseChat(body []byte) (*chatBody, error) {
	var chat chatBody
	if err := json.Unmarshal(body, &chat); err != nil {
		return nil, fault.New(fault.InvalidRequest, "send a JSON chat completion request", "the body is not a valid JSON chat completion request").WithCause(err)
	}
	if chat.Model == "" {
		return nil, fault.New(fault.InvalidRequest, "name a model", "model is empty")
	}
	if chat.MaxTokens < 0 || chat.MaxTokens > maxTokens {
		return nil, fault.New(fault.InvalidRequest, "use a number from 0 to 1048576", "max_tokens = %d is out of range", chat.MaxTokens)
	}
	if messages := bytes.TrimSpace(chat.Messages); len(messages) == 0 || messages[0] != '[' {
		return nil, fault.New(fault.InvalidRequest, "send messages as a list", "messages is not a list")
	}
	return &chat, nil
}

// size returns the number of requested tokens.
func (b *chatBody) size() int {
	if b.MaxTokens == 0 {
		return defaultTokens
	}
	return b.MaxTokens
}

func (b *chatBody) prompt() string {
	return string(b.Messages[:min(len(b.Messages), maxPromptBytes)])
}

// chat handles an OpenAI-compatible chat completion request.
func (g *Gateway) chat(c fiber.Ctx) error {
	s, err := g.admit(c, g.identifyChat)
	if err != nil {
		return err
	}
	if s.req.streamed() {
		return s.serveStream(c)
	}
	return s.serveComplete(c)
}

// admit registers a request as in flight and parses it. If parsing fails or panics,
// the request is unregistered.
func (g *Gateway) admit(c fiber.Ctx, identify func(fiber.Ctx) (*request, error)) (s *session, err error) {
	untrack, err := g.inFlight.track(len(c.Body()))
	if err != nil {
		return nil, err
	}
	defer func() {
		if s == nil {
			untrack()
		}
	}()
	req, err := identify(c)
	if err != nil {
		return nil, err
	}
	req.contents = contentsOf(req)
	return newSession(g, req, untrack), nil
}

func (g *Gateway) identifyChat(c fiber.Ctx) (*request, error) {
	req, err := g.identify(c)
	if err != nil {
		return nil, err
	}
	if mediaType, _, _ := strings.Cut(req.call.ContentType, ";"); !strings.EqualFold(strings.TrimSpace(mediaType), fiber.MIMEApplicationJSON) {
		return nil, fault.New(fault.WrongContentType, "send Content-Type: application/json", "the content type is %q", req.call.ContentType)
	}
	if req.chat, err = parseChat(req.call.Body); err != nil {
		return nil, err
	}
	req.routing.Service = req.chat.Model
	req.routing.Prompt = req.chat.prompt()
	req.size = req.chat.size()
	return req, g.matchRoute(req)
}

// forward handles a request to a plain service.
func (g *Gateway) forward(c fiber.Ctx) error {
	s, err := g.admit(c, g.identifyPlain)
	if err != nil {
		return err
	}
	return s.serveComplete(c)
}

func (g *Gateway) identifyPlain(c fiber.Ctx) (*request, error) {
	req, err := g.identify(c)
	if err != nil {
		return nil, err
	}
	return req, g.matchRoute(req)
}
