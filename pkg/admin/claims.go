package admin

import (
	"context"
	"encoding/json"
	"strings"

	"github.com/gofiber/fiber/v3"

	"github.com/masticmount/masticmount/pkg/claims"
	"github.com/masticmount/masticmount/pkg/fault"
)

// ClaimOperator looks up claims and settles unknown ones.
type ClaimOperator interface {
	Unknown(ctx context.Context, limit int) ([]claims.View, error)
	Lookup(ctx context.Context, key claims.Key) (claims.View, error)
	Settle(ctx context.Context, key claims.Key, verdict claims.Verdict) (claims.View, error)
}

// maxListedClaims limits the number of unknown claims in a listing.
const maxListedClaims = 100

func (a *Admin) unknownClaims(c fiber.Ctx) error {
	views, err := a.opts.Claims.Unknown(c.Context(), maxListedClaims)
	if err != nil {
		return err
	}
	return c.JSON(views)
}

func (a *Admin) claim(c fiber.Ctx) error {
	key, err := claimKey(c)
	if err != nil {
		return err
	}
	view, err := a.opts.Claims.Lookup(c.Context(), key)
	if err != nil {
		return err
	}
	return c.JSON(view)
}

func (a *Admin) settleClaim(c fiber.Ctx) error {
	key, err := claimKey(c)
	if err != nil {
		return err
	}
	var verdict claims.Verdict
	if err := json.Unmarshal(c.Body(), &verdict); err != nil {
		return fault.New(fault.InvalidRequest, "send the verdict as JSON", "the body is not valid JSON").WithCause(err)
	}
	view, err := a.opts.Claims.Settle(c.Context(), key, verdict)
	if err != nil {
		return err
	}
	a.opts.Log.Info().Str("account", key.Account).Str("key", key.Value).Str("attempt", verdict.Attempt).
		Bool("ran", verdict.Ran).Msg("claim_settled")
	return c.JSON(view)
}

// claimKey copies the account and the key from the request, whose buffer is reused.
func claimKey(c fiber.Ctx) (claims.Key, error) {
	key := claims.Key{Account: strings.Clone(c.Params("account")), Value: strings.Clone(c.Query("key"))}
	if key.Value == "" {
		return key, fault.New(fault.InvalidRequest, "add ?key= with the Idempotency-Key", "the key of the claim is missing")
	}
	return key, nil
}
