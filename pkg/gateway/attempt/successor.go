package attempt

// suspected starts a successor of a stream that the caller has a part of. The running attempt is
// not given up before its successor has continued the stream, because that may fail.
func (m *Machine) suspected() []Action {
	if m.phase != phaseRunning || m.hasSuccessor || !m.begun || !m.req.Idempotent || !m.canRetry() || !m.hasRetry() {
		return nil
	}
	if m.injected == giveUpSuspected {
		return []Action{Cancel{}, Release{}, m.acquire()}
	}
	m.retries++
	m.hasSuccessor = true
	return []Action{StartSuccessor{ResumeFrom: m.resumeFrom(), Exclude: append([]string{m.group}, m.exclude...)}}
}

// deliver records a part of the answer. A successor is no longer needed once the running attempt
// has continued.
func (m *Machine) deliver(e Delivered) []Action {
	m.begun = true
	m.delivered += e.Tokens
	m.unnumbered = m.unnumbered || e.Unnumbered
	if !m.hasSuccessor {
		return nil
	}
	m.hasSuccessor = false
	return []Action{CancelSuccessor{}}
}

func (m *Machine) successorContinued(group string) []Action {
	if !m.hasSuccessor {
		return nil
	}
	var actions []Action
	if m.phase == phaseRunning {
		actions = []Action{Cancel{}, Release{Failed: true}}
	}
	m.exclude = append(m.exclude, m.group)
	m.phase, m.hasSuccessor, m.lastFailure = phaseRunning, false, nil
	m.group, m.deliveredBefore, m.mayHaveRun = group, m.delivered, true
	return append(actions, AdoptSuccessor{})
}

// successorFailed lets the running attempt go on. If that has ended, the request is retried.
func (m *Machine) successorFailed(e SuccessorFailed) []Action {
	if !m.hasSuccessor {
		return nil
	}
	m.hasSuccessor = false
	m.mayHaveRun = m.mayHaveRun || !e.NotRun
	if e.Group == "" {
		m.retries--
	} else {
		m.exclude = append(m.exclude, e.Group)
	}
	if m.phase != phaseAwaiting {
		return nil
	}
	if m.lastFailure == nil {
		return []Action{m.acquire()}
	}
	return m.retry(*m.lastFailure)
}
