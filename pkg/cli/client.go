package cli

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/masticmount/masticmount/pkg/admin"
	"github.com/masticmount/masticmount/pkg/api"
	"github.com/masticmount/masticmount/pkg/fault"
	"github.com/masticmount/masticmount/pkg/httphead"
)

const (
	// requestTimeout is the timeout of one request to the administration API.
	requestTimeout = 10 * time.Second
	// maxResponseBytes bounds the body of a response: some times all objects of a large configuration.
	maxResponseBytes = 64 << 20
)

// Client calls the administration API of one node.
type Client struct {
	server string
	token  string
	http   *fasthttp.Client
}

// NewClient returns a client for a node's administration address, such as
// http://127.0.0.1:8081. caFile holds the root certificates for https; if it is empty,
// the system's roots are used.
func NewClient(server, token, caFile string) (*Client, error) {
	c := &Client{server: server, token: token, http: &fasthttp.Client{
		MaxResponseBodySize: maxResponseBytes,
		RetryIfErr:          func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}
	if !strings.HasPrefix(server, "https://") {
		c.http.Dial = httphead.Dial(nil)
		return c, nil
	}
	config := &tls.Config{MinVersion: tls.VersionTLS12}
	c.http.Dial = httphead.Dial(config)
	if caFile == "" {
		return c, nil
	}
	pem, err := readFile(caFile)
	if err != nil {
		return nil, err
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, fault.New(fault.InvalidRequest, "give a file with PEM certificates", "%s contains no certificate", caFile)
	}
	config.RootCAs = roots
	return c, nil
}

func objectPath(kind api.Kind, name string) string {
	return "/admin/v1/objects/" + url.PathEscape(string(kind)) + "/" + url.PathEscape(name)
}

// Apply creates or replaces an object.
func (c *Client) Apply(kind api.Kind, name string, change admin.Change) (accepted admin.Accepted, err error) {
	err = c.call(http.MethodPut, objectPath(kind, name), change, &accepted)
	return accepted, err
}

// Delete deletes an object.
func (c *Client) Delete(kind api.Kind, name string, change admin.Change) (accepted admin.Accepted, err error) {
	err = c.call(http.MethodDelete, objectPath(kind, name), change, &accepted)
	return accepted, err
}

// Get returns one object.
func (c *Client) Get(kind api.Kind, name string) (object api.Object, err error) {
	err = c.call(http.MethodGet, objectPath(kind, name), nil, &object)
	return object, err
}

// List returns every object of a kind.
func (c *Client) List(kind api.Kind) (objects []api.Object, err error) {
	err = c.call(http.MethodGet, "/admin/v1/objects/"+url.PathEscape(string(kind)), nil, &objects)
	return objects, err
}

// Status returns the status of the node.
func (c *Client) Status() (status admin.Status, err error) {
	err = c.call(http.MethodGet, "/admin/v1/status", nil, &status)
	return status, err
}

func (c *Client) call(method, path string, body, result any) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI(c.server + path)
	req.Header.Set("Authorization", "Bearer "+c.token)
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return fault.New(fault.InvalidRequest, "correct the change", "the change cannot be encoded as JSON").WithCause(err)
		}
		req.Header.SetContentType("application/json")
		req.SetBody(data)
	}
	err := c.http.DoTimeout(req, resp, requestTimeout)
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		return fault.New(fault.Internal, "check that --server is an administration address", "the response has more than %d bytes", maxResponseBytes).
			WithOutcome(fault.Unknown).WithCause(err)
	}
	if err != nil {
		return fault.New(fault.NoQuorum, "check --server and that the node is running", "%s cannot be reached", c.server).
			WithOutcome(fault.Unknown).WithCause(err)
	}
	if resp.StatusCode() >= http.StatusBadRequest {
		return problemError(resp)
	}
	if err := json.Unmarshal(resp.Body(), result); err != nil {
		return fault.New(fault.Internal, "check that --server is an administration address", "the response is not valid JSON").WithCause(err)
	}
	return nil
}

func problemError(resp *fasthttp.Response) error {
	var p fault.Problem
	if err := json.Unmarshal(resp.Body(), &p); err != nil || p.Title == "" {
		return fault.New(fault.Internal, "check that --server is an administration address", "unexpected HTTP status %d", resp.StatusCode())
	}
	return fault.New(fault.Kind(p.Title), p.Remedy, "%s", p.Detail).
		WithOutcome(p.Outcome).WithRetryAfter(time.Duration(p.RetryAfterSeconds) * time.Second)
}
