package explain

import (
	"cmp"
	"fmt"
	"strings"
)

// UnknownCause is the cause of a failed request that the log lines do not explain.
const UnknownCause = "the cause is not in these logs; add the logs of other nodes"

// Cause returns one sentence on why a request failed, from the lines that Request
// returned. It is empty if the request was answered completely.
func Cause(lines []Line) string {
	var end, failed Line
	notResumed, exhausted := "", false
	for _, l := range lines {
		exhausted = exhausted || l.Fields["budget_exhausted"] == "true"
		switch l.Event {
		case "send_failed":
			failed = l
		case "request_refused", "request_answered", "request_cut_off", "answer_not_written":
			end = l
		case "stream_not_resumed":
			notResumed = cmp.Or(l.Fields["refused"], l.Fields["reason"])
		}
	}
	switch {
	case end.Event == "request_cut_off":
		return "cut by the planned stop of its node " + cutOffText(end.Fields)
	case end.Event == "answer_not_written":
		return "the answer could not be written: " + callerEndText(end.Fields["caller_end"])
	case end.Event == "request_answered" && end.Fields["outcome"] == "whole":
		return ""
	case end.Fields["caller_left"] == "true":
		return callerEndText(end.Fields["caller_end"])
	case end.Fields["kind"] == "prompt-quarantined":
		return quarantineCause(end.Fields)
	case end.Fields["kind"] == "request-quarantined":
		return requestQuarantineCause(end.Fields)
	case end.Event == "request_refused" && end.Fields["crashed"] != "":
		return suspectCause(end.Fields)
	case end.Event == "request_refused" && failed.Event == "":
		return refusalCause(end.Fields)
	case failed.Event == "":
		return UnknownCause
	}
	return sendCause(failed, groupEndReason(lines, failed)) + noRetryCause(end, notResumed, exhausted)
}

// refusalCause explains the refusal of a request that was sent to no upstream.
func refusalCause(f map[string]string) string {
	switch f["kind"] {
	case "overloaded":
		if f["limited"] != "" {
			return fmt.Sprintf("upstreams had stated how many requests they take, and no other had capacity: %s (waited %s ms)", f["limited"], cmp.Or(f["queued_ms"], "0"))
		}
		if strings.HasPrefix(f["detail"], "the bodies of open requests ") {
			return "the entry had no memory left for the request's body: " + f["detail"]
		}
		return fmt.Sprintf("no capacity became available in time (%s, waited %s ms)", strings.TrimPrefix(f["detail"], "no place for the request: "), cmp.Or(f["queued_ms"], "0"))
	case "":
		return UnknownCause
	default:
		return fmt.Sprintf("%s (%s)%s%s", f["detail"], f["kind"], stopText(f), configurationText(f))
	}
}

// stopText tells when in a planned stop a request was refused; empty outside of one.
func stopText(f map[string]string) string {
	if f["in_stop_ms"] == "" {
		return ""
	}
	return fmt.Sprintf(" %s ms after the planned stop of its node began", f["in_stop_ms"])
}

// quarantineCause explains the refusal of a request with a quarantined part.
func quarantineCause(f map[string]string) string {
	return fmt.Sprintf("part %s of the prompt is quarantined: engines %s crashed as they began to answer prompts with it, the first one %s ms and the last one %s ms earlier; requests with it%s are refused for another %s ms%s",
		f["part"], f["crashed"], f["first_crash_age_ms"], f["last_crash_age_ms"], together(f), f["quarantined_for_ms"], unconfirmed(f))
}

// together names the contents that a refused request has beside the quarantined one.
func together(f map[string]string) string {
	if f["companions"] == "" {
		return ""
	}
	return " together with " + f["companions"] + ", which all these crashes share,"
}

// unconfirmed tells that the service itself may be at fault.
func unconfirmed(f map[string]string) string {
	if f["unconfirmed"] != "true" {
		return ""
	}
	return "; no request of the service was answered since the first crash, so that its upstreams may fail by themselves"
}

// requestQuarantineCause explains the refusal of a request that crashes upstreams.
func requestQuarantineCause(f map[string]string) string {
	return fmt.Sprintf("the request is quarantined as %s: upstreams %s crashed as they ran it, the first one %s ms and the last one %s ms earlier; it is refused for another %s ms",
		f["part"], f["crashed"], f["first_crash_age_ms"], f["last_crash_age_ms"], f["quarantined_for_ms"])
}

// suspectCause explains the refusal of a request that may crash another upstream.
func suspectCause(f map[string]string) string {
	return fmt.Sprintf("%s upstreams crashed as they ran %s (%s), the first one %s ms and the last one %s ms earlier; it was not sent again, as it may crash another one (held for another %s ms)%s",
		f["crashes"], f["part"], f["crashed"], f["first_crash_age_ms"], f["last_crash_age_ms"], f["quarantined_for_ms"], awaitingTrial(f))
}

// awaitingTrial tells that other causes of the crashes are possible.
func awaitingTrial(f map[string]string) string {
	if f["confirmed"] != "false" {
		return ""
	}
	return ", until a trial has shown whether that is the cause"
}

// groupEndReason returns the reason why the group of a failed send ended, or an empty string
// if no line reports it.
func groupEndReason(lines []Line, failed Line) string {
	for _, l := range lines {
		if l.Event == "group_changed" && l.Fields["group"] == failed.Fields["group"] && failed.Fields["group"] != "" &&
			(l.Fields["change"] == "broken" || l.Fields["change"] == "released") && l.Fields["reason"] != "" {
			return l.Fields["reason"]
		}
	}
	return ""
}

// reasonText returns the reason for which a send failed. For an answer that came as its upstream sent it, but was not accepted,
// it tells why, so that it is not taken for one that was lost on its way.
func reasonText(f map[string]string) string {
	notAccepted := f["reason"] == "malformed" || f["reason"] == "refusal-not-stated" || f["end_unproven"] == "true"
	if notAccepted && f["cause"] != "" {
		return f["reason"] + " (" + f["cause"] + ")"
	}
	return f["reason"]
}

func sendCause(failed Line, groupEnd string) string {
	cause := fmt.Sprintf("the send to %s failed: %s", targetText(failed.Fields), reasonText(failed.Fields))
	if groupEnd != "" {
		cause += ", because the upstream's group ended (" + groupEnd + ")"
	}
	return cause
}

// noRetryCause explains why the request was not retried after a failed send.
func noRetryCause(end Line, notResumed string, exhausted bool) string {
	switch {
	case notResumed != "" && exhausted:
		return "; the stream could not be resumed on another upstream, as the retry budget of its service was exhausted"
	case notResumed != "":
		return "; the stream could not be resumed on another upstream: " + notResumed
	case exhausted:
		return "; it was not sent again, as the retry budget of its service was exhausted"
	case end.Fields["outcome"] == "unknown":
		return "; the request may have run, so it was not retried"
	default:
		return ""
	}
}
