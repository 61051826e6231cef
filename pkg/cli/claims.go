package cli

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/masticmount/masticmount/pkg/claims"
	"github.com/masticmount/masticmount/pkg/fault"
)

type claimCommand struct {
	Get    *claimGetCommand    `arg:"subcommand:get" help:"look up a claim"`
	List   *claimListCommand   `arg:"subcommand:list" help:"list the oldest unknown claims"`
	Settle *claimSettleCommand `arg:"subcommand:settle" help:"settle an unknown claim"`
}

func (c *claimCommand) run(*session) error {
	return fault.New(fault.InvalidRequest, "use 'claim get', 'claim list' or 'claim settle'", "no subcommand")
}

type claimGetCommand struct {
	Account string `arg:"positional,required" help:"client account"`
	Key     string `arg:"positional,required" help:"Idempotency-Key of the request"`
}

func (c *claimGetCommand) run(s *session) error {
	view, err := s.client.Claim(c.Account, c.Key)
	return printResult(s, view, err, printClaim)
}

type claimListCommand struct{}

func (c *claimListCommand) run(s *session) error {
	views, err := s.client.UnknownClaims()
	return printResult(s, views, err, printClaims)
}

type claimSettleCommand struct {
	Account     string `arg:"positional,required" help:"client account"`
	Key         string `arg:"positional,required" help:"Idempotency-Key of the request"`
	Attempt     string `arg:"--attempt,required" help:"attempt that 'claim get' shows"`
	Ran         bool   `arg:"--ran" help:"the service executed the request"`
	NotRun      bool   `arg:"--not-run" help:"the service did not execute the request; frees the key"`
	Status      int    `arg:"--status" help:"HTTP status returned to retries with the key, with --ran"`
	ContentType string `arg:"--content-type" default:"application/json"`
	Body        string `arg:"--body" help:"body returned to retries with the key, with --ran"`
}

func (c *claimSettleCommand) run(s *session) error {
	if c.Ran == c.NotRun {
		return fault.New(fault.InvalidRequest, "check with the service whether it ran the request", "give either --ran or --not-run")
	}
	verdict := claims.Verdict{Attempt: c.Attempt, Ran: c.Ran}
	if c.Ran && c.Status != 0 {
		verdict.Status, verdict.ContentType, verdict.Body = c.Status, c.ContentType, c.Body
	}
	view, err := s.client.SettleClaim(c.Account, c.Key, verdict)
	return printResult(s, view, err, printClaim)
}

func printClaims(out io.Writer, views []claims.View) {
	for _, v := range views {
		printClaim(out, v)
	}
}

func printClaim(out io.Writer, v claims.View) {
	fmt.Fprintf(out, "account=%s key=%s state=%s", v.Account, v.Key, v.State)
	if v.Attempt != "" {
		fmt.Fprintf(out, " attempt=%s node=%s opened=%s", v.Attempt, v.Node, v.OpenedAt.Format(time.RFC3339))
	}
	if v.Status != 0 {
		fmt.Fprintf(out, " status=%d", v.Status)
	}
	fmt.Fprintf(out, " settled=%t\n", v.Settled)
}

// claimPath passes the key as a query parameter because it may contain any character.
func claimPath(account, key, verb string) string {
	return "/admin/v1/claims/" + url.PathEscape(account) + verb + "?key=" + url.QueryEscape(key)
}

// UnknownClaims returns the oldest unknown claims.
func (c *Client) UnknownClaims() (views []claims.View, err error) {
	err = c.call(http.MethodGet, "/admin/v1/claims", nil, &views)
	return views, err
}

// Claim looks up a claim.
func (c *Client) Claim(account, key string) (view claims.View, err error) {
	err = c.call(http.MethodGet, claimPath(account, key, ""), nil, &view)
	return view, err
}

// SettleClaim settles an unknown claim.
func (c *Client) SettleClaim(account, key string, verdict claims.Verdict) (view claims.View, err error) {
	err = c.call(http.MethodPost, claimPath(account, key, "/settle"), verdict, &view)
	return view, err
}
