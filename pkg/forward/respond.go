package forward

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/samber/lo"
	"github.com/valyala/fasthttp"

	"github.com/masticmount/masticmount/pkg/boottime"
	"github.com/masticmount/masticmount/pkg/disconnect"
	"github.com/masticmount/masticmount/pkg/dispatch"
	"github.com/masticmount/masticmount/pkg/fault"
	"github.com/masticmount/masticmount/pkg/quarantine/report"
	"github.com/masticmount/masticmount/pkg/retrybudget"
	"github.com/masticmount/masticmount/pkg/telemetry"
)

// logSampleInterval is the number of ordinary answers for each one that is logged.
const logSampleInterval = 64

// copyHeader passes an upstream's status and header on.
func copyHeader(ctx *fasthttp.RequestCtx, status int, header []dispatch.HeaderLine) {
	ctx.Response.SetStatusCode(status)
	for _, l := range header {
		if !hopByHop[l.Name] {
			ctx.Response.Header.Add(l.Name, l.Value)
		}
	}
}

// refuse answers a request with an error.
func (e *Entry) refuse(ctx *fasthttp.RequestCtx, r *request, s *session, f *fault.Error) {
	ctx.Response.SetStatusCode(f.Status())
	if r.id != "" {
		ctx.Response.Header.Set(e.opts.HeaderNames.RequestID, r.id)
	}
	if f.RetryAfter > 0 {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(f.RetryAfter.Seconds(), 'f', 2, 64))
	}
	ctx.Response.Header.Set(fault.OutcomeHeader, string(f.Outcome))
	ctx.Response.Header.SetContentType(fault.ProblemType)
	body, err := json.Marshal(map[string]any{"type": string(f.Kind), "title": f.Detail, "detail": f.Remedy, "status": f.Status()})
	if err != nil {
		e.opts.Log.Error().Err(err).Str("request_id", r.id).Msg("problem_not_encoded")
	}
	ctx.Response.SetBodyRaw(body)
	e.opts.Metrics.Add("refusals."+string(f.Kind), 1)
	line := e.opts.Log.Info().Str("request_id", r.id).Str("kind", string(f.Kind)).Int("status", f.Status()).
		Str("outcome", string(f.Outcome)).Str("detail", f.Detail).Dur("retry_after_ms", f.RetryAfter).
		Str("class", r.class()).Str("account", r.accountName()).Dur("config_age_ms", min(r.configAge, time.Hour)).
		Uint64("config_version", r.configVersion).Uint64("config_newest", e.opts.NewestVersion())
	if s != nil {
		line = line.Int("sends", s.history.sends).Bool("may_have_run", s.history.mayHaveRun).Dur("queued_ms", s.queueTime).
			Bool("caller_left", s.clientDisconnected()).Str("caller_end", string(s.callerEnd())).Bool("budget_exhausted", s.refusedRetry)
		line = s.estimate.fields(line)
	}
	if s != nil && s.finding != nil {
		line = line.Str("content", s.request.content).Str("prompt_parts", promptPartsOf(s.request.contents))
		line = report.Fields(e.opts.EvidenceClock(), *s.finding, line)
	}
	if s != nil && len(s.limits) > 0 {
		e.opts.Metrics.Add("refusals.limits_stated", 1)
		line = line.Str("limited", strings.Join(lo.Map(s.limits, func(l StatedLimit, _ int) string { return l.String() }), ", "))
	}
	if e.stopping() {
		e.opts.Metrics.Add("stop.refusals", 1)
	}
	e.stopFields(line, r).Msg("request_refused")
}

// logAnswer logs each answer that was not ordinary, and a sample of the others.
func (e *Entry) logAnswer(s *session, status int, outcome string) {
	e.opts.Metrics.Add("answers."+outcome, 1)
	ordinary := outcome == "whole" && s.history.sends == 1 && status < fasthttp.StatusBadRequest
	if ordinary && e.randomFloat() > 1.0/logSampleInterval {
		return
	}
	line := e.opts.Log.Info().Str("request_id", s.request.id).Int("status", status).Str("outcome", outcome).
		Str("class", s.request.class()).Str("account", s.request.accountName()).Int("sends", s.history.sends).
		Dur("queued_ms", s.queueTime).Dur("first_ms", s.firstEventLatency).Dur("took_ms", time.Since(s.request.arrivedAt)).Bool("caller_left", s.clientDisconnected()).
		Str("caller_end", string(s.callerEnd())).Bool("budget_exhausted", s.refusedRetry).Uint64("config_version", s.request.configVersion)
	if s.request.configAge > e.opts.MaxChangeAge {
		line = line.Dur("config_age_ms", s.request.configAge)
	}
	if t := s.currentSend.target; t != nil {
		line = line.Str("target", t.ID).Str("group", t.Group).Bool("reused", s.reused)
	}
	if s.position.started {
		line = line.Int("events", s.position.eventCount).Str("first_event", s.position.firstID).Str("last_event", s.position.lastID)
	}
	line = s.estimate.fields(line)
	if end := s.callerEnd(); end != "" && outcome != "whole" {
		e.opts.Metrics.Add("callers."+string(end), 1)
	}
	e.stopFields(line, s.request).Msg("request_answered")
}

// logFailure logs each send that failed. For a stream the line says where the send broke off:
// after which event, with how many bytes of the next one, and whether the caller had been sent
// a part of the answer.
func (e *Entry) logFailure(s *session, failed send, r *upstreamRun, err *dispatch.CallError) {
	e.opts.Metrics.Add("sends_failed."+string(err.Reason), 1)
	line := e.opts.Log.Info().Str("request_id", s.request.id).Str("target", failed.target.ID).Str("group", failed.target.Group).
		Str("reason", string(err.Reason)).Bool("sent", err.Sent).Str("at_fault", err.AtFault).AnErr("cause", err.Unwrap()).
		Dur("after_ms", time.Since(s.request.arrivedAt)).Bool("doubtful", failed.target.Suspected).
		Int("send", failed.number).Bool("reused", err.Reused).Str("content", s.request.content).Dur("run_ms", time.Since(failed.at)).
		Dur("time_left_ms", s.request.timeLeft(time.Now(), boottime.Now())).Dur("expected_service_ms", e.expectedServiceTime(s.request))
	if s.request.route.Stream {
		pending := r.pendingBytes()
		line = line.Int("run_events", r.eventCount()).Str("prompt_parts", strings.Join(s.request.promptParts, ",")).Str("after_event", s.position.lastID).Int("held_bytes", pending).Bool("caller_began", s.history.firstEventSent)
		if pending > 0 {
			e.opts.Metrics.Add("streams.broken_inside_event", 1)
		}
		if errors.Is(err, errContinuationWithoutEvent) {
			e.opts.Metrics.Add("streams.continuations_without_event", 1)
			line = line.Bool("end_unproven", true)
		}
	}
	e.stopFields(line, s.request).Msg("send_failed")
}

// logExhausted logs that the retry budget of a service has no retry left for a session's request.
func (e *Entry) logExhausted(s *session, state *retrybudget.State) {
	e.opts.Log.Warn().Str("service", state.Service).Str("first_refused", s.request.id).Float64("earned", state.Earned).Float64("pooled", state.Pooled).
		Int("entries", state.Entries).Uint32("all_requests", state.AllRequests).Uint32("all_retries", state.AllRetries).Dur("counts_age_ms", state.Age).
		Uint32("unreported_requests", state.Requests).Uint32("unreported_retries", state.Retries).Msg("retry_budget_exhausted")
}

// series identifies a histogram by the request's client account and class.
func (s *session) series(name string) telemetry.Series {
	return telemetry.Series{Name: name, Account: s.request.accountName(), Class: s.request.class()}
}

// clientDisconnected reports whether the client closed its connection.
func (s *session) clientDisconnected() bool {
	return errors.Is(context.Cause(s.ctx), errClientDisconnected)
}

// callerEnd is how the caller's connection ended, as far as that is known.
func (s *session) callerEnd() disconnect.End {
	if s.clientConn == nil {
		return ""
	}
	return s.clientConn.End()
}

// observe records the times of an answered request.
func (s *session) observe() {
	metrics := s.entry.opts.Metrics
	if s.firstEventLatency > 0 {
		metrics.Observe(s.series("first_token"), s.firstEventLatency)
	}
	metrics.Observe(s.series("whole"), time.Since(s.request.arrivedAt))
	metrics.Observe(s.series("queueing"), s.queueTime)
}
