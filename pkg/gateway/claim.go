package gateway

import (
	"context"

	"github.com/masticmount/masticmount/pkg/claims"
	"github.com/masticmount/masticmount/pkg/dispatch"
	"github.com/masticmount/masticmount/pkg/fault"
	"github.com/masticmount/masticmount/pkg/gateway/attempt"
)

func (s *session) claimKey() claims.Key {
	return claims.Key{Account: s.req.account, Value: s.req.key}
}

// claim commits a claim on the request's key; the request is dispatched only after
// it is committed.
func (s *session) claim() attempt.Event {
	ctx, cancel := context.WithDeadline(s.g.ctx, s.req.deadline)
	defer cancel()
	decision, err := s.g.opts.Claims.Claim(ctx, s.claimKey(), fingerprint(s.req))
	if err != nil && s.stopping() {
		return attempt.ClaimFailed{Err: stoppingError().WithCause(err)}
	}
	if err != nil {
		return attempt.ClaimFailed{Err: fault.From(err)}
	}
	switch decision.State {
	case claims.Granted:
		return attempt.ClaimGranted{}
	case claims.Answered:
		s.answer = &dispatch.BufferedResponse{Status: decision.Answer.Status, ContentType: decision.Answer.ContentType, Body: decision.Answer.Body}
		return attempt.AnswerRecorded{}
	case claims.InProgress:
		return attempt.ClaimConflict{Err: fault.New(fault.InProgress, "wait, then send the same key again",
			"the request with this key is still running").WithOutcome(fault.Unknown).WithRetryAfter(fault.MinRetryAfter)}
	case claims.Reused:
		return attempt.ClaimConflict{Err: fault.New(fault.KeyReused, "use a new key for a new request", "the key belongs to another request")}
	default:
		return attempt.ClaimConflict{Err: fault.New(fault.UpstreamFailed, "ask an operator to look the key up",
			"the request with this key may have run").WithOutcome(fault.Unknown)}
	}
}

// settle moves the claim to its final state. If that fails, the key stays claimed,
// so the request cannot run again. A stop does not wait for it: the store sends it again.
func (s *session) settle(settlement attempt.Settlement) {
	ctx := s.g.ctx
	var err error
	switch settlement {
	case attempt.Record:
		err = s.g.opts.Claims.Record(ctx, s.claimKey(), claims.Answer{
			Status: s.answer.Status, ContentType: s.answer.ContentType, Body: s.answer.Body,
		})
	case attempt.Abandon:
		err = s.g.opts.Claims.Abandon(ctx, s.claimKey())
	case attempt.MarkUnknown:
		err = s.g.opts.Claims.MarkUnknown(ctx, s.claimKey())
	}
	if err != nil {
		s.g.opts.Log.Error().Err(err).Str("request_id", s.req.id).Str("settlement", string(settlement)).Msg("claim_not_settled")
	}
}

// fingerprint identifies the content of a request, to detect the reuse of a key for
// another request.
func fingerprint(req *request) claims.Fingerprint {
	return claims.FingerprintOf(req.call.Method, req.call.Path+"?"+req.call.Query, req.call.Body)
}
