// Package explain reconstructs the outcome of a request from the logs of several nodes
// and describes it as text.
package explain

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/masticmount/masticmount/pkg/quarantine"
)

// Line is one log line.
type Line struct {
	Time   time.Time
	Event  string
	Node   string
	Fields map[string]string
}

// contextWindow is the time before and after the lines of a request in which lines about its
// groups and upstreams are included.
const contextWindow = 10 * time.Second

var pairPattern = regexp.MustCompile(`([a-z_]+)=("(?:[^"\\]|\\.)*"|\S*)`)

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// Read parses the lines of one log. Text that is not a log line is skipped.
func Read(log io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	var lines []Line
	for scanner.Scan() {
		fields := map[string]string{}
		for _, m := range pairPattern.FindAllStringSubmatch(scanner.Text(), -1) {
			fields[m[1]] = unquoted(m[2])
		}
		at, err := time.Parse(time.RFC3339Nano, fields["time"])
		if err != nil || fields["event"] == "" {
			continue
		}
		lines = append(lines, Line{Time: at, Event: fields["event"], Node: fields["node"], Fields: fields})
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read the log: %w", err)
	}
	return lines, nil
}

// unquoted returns a value without its quotation marks, and with what they escape.
func unquoted(value string) string {
	if text, err := strconv.Unquote(value); err == nil {
		return text
	}
	return strings.Trim(value, `"`)
}

// Request returns the log lines about a request, ordered by time: its own lines, and the
// lines about the groups and upstreams that it was sent to.
func Request(id string, lines []Line) []Line {
	var own []Line
	related, nodes := map[string]bool{}, map[string]bool{}
	quarantined, exhausted := "", false
	for _, l := range lines {
		if l.Fields["request_id"] != id {
			continue
		}
		own = append(own, l)
		exhausted = exhausted || l.Fields["budget_exhausted"] == "true"
		quarantined = cmp.Or(quarantined, l.Fields["part"])
		for _, key := range []string{"group", "target", "at_fault"} {
			if name := l.Fields[key]; name != "" {
				related[name] = true
			}
		}
		for limit := range strings.SplitSeq(l.Fields["limited"], ", ") {
			upstream, _, _ := strings.Cut(limit, " ")
			related[upstream] = true
		}
		nodes[l.Node] = true
	}
	delete(related, "")
	if len(own) == 0 {
		return nil
	}
	first := slices.MinFunc(own, compare).Time.Add(-contextWindow)
	last := slices.MaxFunc(own, compare).Time.Add(contextWindow)
	found := own
	for _, l := range lines {
		if l.Fields["request_id"] != "" || !l.Time.Before(last) {
			continue
		}
		if l.Time.After(first) && (isRelated(l, related) || nodes[l.Node] && (isNodeChange(l) || exhausted && l.Event == "retry_budget_exhausted")) || isEvidence(l, quarantined) {
			found = append(found, l)
		}
	}
	slices.SortStableFunc(found, compare)
	return found
}

func compare(a, b Line) int {
	return cmp.Or(a.Time.Compare(b.Time), strings.Compare(a.Node, b.Node))
}

// isRelated reports whether a line describes a state change of one of the named groups and
// upstreams.
func isRelated(l Line, related map[string]bool) bool {
	switch l.Event {
	case "group_changed", "group_suspected", "upstream_silent", "upstream_deregistered", "departure_committed", "departure_not_committed", "upstream_limit_stated", "upstream_paused":
		return related[l.Fields["group"]] || related[l.Fields["upstream"]]
	default:
		return false
	}
}

// isNodeChange reports whether a line says that a node lost its path to the upstreams or the confirmation of its configuration,
// or has it again.
func isNodeChange(l Line) bool {
	switch l.Event {
	case "upstream_path_lost", "upstream_path_back", "configuration_unconfirmed", "configuration_confirmed":
		return true
	default:
		return false
	}
}

// isEvidence reports whether a line describes evidence against a content of a request, however old.
func isEvidence(l Line, content string) bool {
	if content == "" {
		return false
	}
	switch l.Event {
	case "prompt_part_quarantined", "prompt_part_released", "request_quarantined", "request_released", "quarantine_trial_granted", "quarantine_trial_sent":
		return l.Fields["part"] == content
	case "engine_crash_checked":
		return l.Fields["crashed"] == "true" && (l.Fields["content"] == content || slices.Contains(strings.Split(l.Fields["prompt_parts"], ","), content))
	default:
		return false
	}
}

// describeEvidence describes a line about evidence against a content.
func describeEvidence(l Line) string {
	f := l.Fields
	switch l.Event {
	case "prompt_part_quarantined", "request_quarantined":
		if f["confirmed"] == "true" {
			return fmt.Sprintf("%s crashed an upstream in a trial as well, after %s crashes (%s), the first one %s ms earlier", contentText(f["part"]), f["crashes"], f["crashed"], f["first_crash_age_ms"])
		}
		text := fmt.Sprintf("%s quarantined after %s crashes (%s), the first one %s ms earlier", contentText(f["part"]), f["crashes"], f["crashed"], f["first_crash_age_ms"])
		if f["companions"] != "" {
			text += "; only together with " + f["companions"]
		}
		return text
	case "prompt_part_released", "request_released":
		return contentText(f["part"]) + " is no longer quarantined"
	case "engine_crash_checked":
		if f["prompt_parts"] == "" {
			return fmt.Sprintf("%s crashed as it ran request %s", f["upstream"], f["content"])
		}
		if f["begun"] == "false" {
			return fmt.Sprintf("%s crashed before it answered a prompt with parts %s", f["upstream"], f["prompt_parts"])
		}
		return fmt.Sprintf("%s crashed as it began to answer a prompt with parts %s", f["upstream"], f["prompt_parts"])
	case "quarantine_trial_granted":
		return fmt.Sprintf("%s may send one request with %s, as a trial", f["entry"], contentText(f["part"]))
	case "quarantine_trial_sent":
		return fmt.Sprintf("request %s was sent as a trial of %s", f["request_id"], contentText(f["part"]))
	default:
		return ""
	}
}

// Describe describes a log line as text.
func Describe(l Line) string {
	f := l.Fields
	switch l.Event {
	case "request_refused":
		text := fmt.Sprintf("refused with status %s (%s): %s", f["status"], f["kind"], f["detail"])
		if f["retry_after_ms"] != "0" && f["retry_after_ms"] != "" {
			text += fmt.Sprintf("; retry after %s ms", f["retry_after_ms"])
		}
		if f["budget_exhausted"] == "true" {
			text += "; the retry budget was exhausted"
		}
		return text + estimateText(f) + "; " + outcomeText(f["outcome"]) + configurationText(f)
	case "send_failed":
		text := fmt.Sprintf("a send to %s failed after %s ms: %s", targetText(f), f["after_ms"], reasonText(f))
		if f["sent"] == "false" {
			text += ", before any byte was sent"
		}
		if f["at_fault"] != "" {
			text += "; the upstream attributes the failure to " + f["at_fault"]
		}
		if f["time_left_ms"] != "" {
			text += fmt.Sprintf("; the caller had %s ms left, such requests take %s ms", f["time_left_ms"], f["expected_service_ms"])
		}
		return text + truncationText(f)
	case "request_answered":
		text := fmt.Sprintf("answered with status %s by %s after %s ms, %s sends, %s", f["status"], targetText(f), f["took_ms"], f["sends"], f["outcome"])
		if f["events"] != "" {
			text += fmt.Sprintf(", %s events from %s to %s", f["events"], f["first_event"], f["last_event"])
		}
		return text + estimateText(f)
	case "stream_silent":
		return fmt.Sprintf("%s was silent for %s ms (a stall after %s ms) after event %q with %s ms of the caller's time left: the stream was also sent to %s",
			targetText(f), f["silent_ms"], f["stall_ms"], f["last_event"], f["time_left_ms"], f["next_target"])
	case "request_cut_off":
		return "cut by the planned stop " + cutOffText(f)
	case "answer_not_written":
		return fmt.Sprintf("the answer of %s was not written to its end (%s, %s events, %s bytes held): %s", targetText(f), f["stage"], f["events"], f["held_bytes"], callerEndText(f["caller_end"]))
	case "stream_resumed":
		if f["asked_after"] == "" {
			return fmt.Sprintf("the stream was resumed at %s after event %s", f["target"], f["last_event"])
		}
		return fmt.Sprintf("the stream was resumed at %s: requested after event %s, it started with event %s", f["target"], f["asked_after"], f["went_on_at"])
	case "stream_not_resumed":
		text := fmt.Sprintf("the stream ended after event %s: %s", f["last_event"], cmp.Or(f["refused"], f["reason"]))
		if f["budget_exhausted"] == "true" {
			text += "; the retry budget was exhausted"
		}
		return text
	case "group_changed":
		text := fmt.Sprintf("group %s: %s", f["group"], f["change"])
		if f["reason"] != "" {
			text += " (" + f["reason"] + ")"
		}
		return text
	case "prompt_part_quarantined", "request_quarantined", "prompt_part_released", "request_released", "engine_crash_checked", "quarantine_trial_granted", "quarantine_trial_sent":
		return describeEvidence(l)
	case "group_suspected":
		return fmt.Sprintf("an entry reports that the group of %s stopped responding", f["upstream"])
	case "upstream_paused":
		return fmt.Sprintf("%s answered 503 and wants no work of this node for %s ms", f["upstream"], f["pause_ms"])
	case "upstream_limit_stated":
		if f["limited"] == "false" {
			return f["upstream"] + " no longer states a limit"
		}
		return fmt.Sprintf("%s states that it takes %s requests a second", f["upstream"], f["limit_per_s"])
	case "retry_budget_exhausted":
		return fmt.Sprintf("the retry budget of %s is exhausted: %s entries had sent %s retries of %s requests in its window, as known %s ms earlier",
			f["service"], f["entries"], f["all_retries"], f["all_requests"], f["counts_age_ms"])
	case "configuration_unconfirmed":
		return fmt.Sprintf("no quorum has confirmed version %s of the configuration for %s ms; keepers report up to version %s; links: %s", f["version"], f["age_ms"], f["newest_reported"], f["keepers"])
	case "configuration_confirmed":
		return fmt.Sprintf("version %s of the configuration is confirmed, after %s ms without", f["version"], f["unconfirmed_for_ms"])
	case "upstream_path_lost":
		return "this entry lost its path to the upstreams; it uses tunnels through other entries"
	case "upstream_path_back":
		return fmt.Sprintf("this entry has its path to the upstreams again, after %s ms", f["lost_for_ms"])
	case "upstream_silent":
		return fmt.Sprintf("announcements of %s stopped", f["upstream"])
	case "upstream_deregistered":
		return f["upstream"] + " deregistered"
	case "departure_committed":
		return fmt.Sprintf("that %s leaves is committed (deregistered: %s)", f["upstream"], f["deregistered"])
	case "departure_not_committed":
		return fmt.Sprintf("that %s leaves could not be committed (deregistered: %s): %s", f["upstream"], f["deregistered"], f["error"])
	default:
		return l.Event
	}
}

// estimateText describes what the wait or refusal of a request was based on; empty where the line does not tell.
func estimateText(f map[string]string) string {
	if f["ahead"] == "" {
		return ""
	}
	text := fmt.Sprintf("; %s requests waited before it for this entry's part of %s slots: expected wait %s ms, own time %s ms, caller's time %s ms",
		f["ahead"], f["own_slots"], f["expected_wait_ms"], f["expected_service_ms"], f["time_left_ms"])
	if f["first_event_left_ms"] != "" {
		text += fmt.Sprintf("; first event usually after %s ms, caller leaves without one in %s ms", f["usual_start_ms"], f["first_event_left_ms"])
	}
	return text
}

// cutOffText describes when and where a planned stop cut a request.
func cutOffText(f map[string]string) string {
	text := fmt.Sprintf("%s ms after the stop began, sent %s ms after it", f["in_stop_ms"], f["arrived_in_stop_ms"])
	if before, ok := strings.CutPrefix(f["arrived_in_stop_ms"], "-"); ok {
		text = fmt.Sprintf("%s ms after the stop began, sent %s ms before it", f["in_stop_ms"], before)
	}
	if f["stage"] == "reading" {
		return f["in_stop_ms"] + " ms after the stop began: the client had not sent it whole"
	}
	text += fmt.Sprintf(", with %s ms of its time left: ", f["time_left_ms"])
	switch f["stage"] {
	case "waiting":
		return text + "it waited for an upstream"
	case "sent":
		return text + f["target"] + " had not begun its answer"
	case "begun":
		return text + fmt.Sprintf("%s was still writing, after %s events", f["target"], f["events"])
	case "refused":
		return text + "its refusal was not written to its end"
	default:
		return text + fmt.Sprintf("%s had ended its answer, which was not written to its end (%s bytes held, %s in the write that the client did not accept)", f["target"], f["held_bytes"], f["unwritten_bytes"])
	}
}

// callerEndText describes how the connection of a request's client ended.
func callerEndText(end string) string {
	switch end {
	case "reset":
		return "the client's connection was reset"
	case "not-read":
		return "the client did not read the answer"
	default:
		return "the client disconnected"
	}
}

// truncationText describes where the stream of a send was truncated. It is empty for requests
// without a stream.
func truncationText(f map[string]string) string {
	if f["held_bytes"] == "" {
		return ""
	}
	text := ", before any event"
	if f["after_event"] != "" {
		text = ", after event " + f["after_event"]
	}
	if f["held_bytes"] != "0" {
		text += fmt.Sprintf(" with %s bytes of the next event", f["held_bytes"])
	}
	if f["caller_began"] == "false" {
		text += "; the caller had received nothing"
	}
	return text
}

// configurationText describes the configuration by which a request was refused.
func configurationText(f map[string]string) string {
	text := fmt.Sprintf("; configuration confirmed %s ms earlier", f["config_age_ms"])
	if version, newest := f["config_version"], f["config_newest"]; version != newest {
		text += fmt.Sprintf(", version %s where keepers report %s", version, newest)
	}
	return text
}

// contentText names a prompt part or a whole request.
func contentText(content string) string {
	if quarantine.IsRequest(content) {
		return content
	}
	return "part " + content
}

func targetText(f map[string]string) string {
	if f["group"] == "" {
		return f["target"]
	}
	return fmt.Sprintf("%s of group %s", f["target"], f["group"])
}

func outcomeText(outcome string) string {
	switch outcome {
	case "not-run":
		return "the request did not run"
	case "ran":
		return "the request ran"
	default:
		return "the request may have run"
	}
}

// Write prints a description of each line.
func Write(out io.Writer, lines []Line) error {
	for _, l := range lines {
		if _, err := fmt.Fprintf(out, "%s %s %s\n", l.Time.Format("15:04:05.000"), l.Node, Describe(l)); err != nil {
			return fmt.Errorf("write: %w", err)
		}
	}
	return nil
}
