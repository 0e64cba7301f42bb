package blforwarder

import "fmt"

// startWriter starts the goroutine that writes answers, if it does not run yet. An idle connection does not need one.
func (s *session) startWriter() {
	if s.pipeline == nil {
		s.pipeline, s.written = make(chan *pipelinedRequest, pipelineDepth), make(chan struct{})
		go s.loop(s.pipeline, s.written)
	}
}

// loop writes the answers in the order of the requests.
func (s *session) loop(pipeline <-chan *pipelinedRequest, written chan<- struct{}) {
	defer close(written)
	broken := false
	for p := range pipeline {
		if p.interim {
			if !broken && s.writeInterim() != nil {
				broken = true
				s.abort(true)
			}
			continue
		}
		a := <-p.answer
		if broken {
			a.discard()
			p.request.memory.release()
			s.answerDone()
			continue
		}
		err := s.writeAnswer(a, p)
		a.discard()
		p.request.memory.release()
		s.answerDone()
		if err != nil || a.close {
			broken = true
			s.abort(err != nil)
		}
	}
}

// writeAnswer writes one answer. The connection has read deadlines only, so that an expired one does not truncate the answer.
func (s *session) writeAnswer(a *answer, p *pipelinedRequest) error {
	w := s.server.buffers.writer(progressWriter{s})
	defer s.server.buffers.putWriter(w)
	s.progress.writing.Store(p.request.memory)
	if a.stream != nil || len(a.body) > kernelBytes {
		s.prepareLargeAnswer()
	}
	defer s.progress.writing.Store(nil)
	return a.write(w, s.handler.internal(), p.lastOnConn || s.closesAfterAnswer())
}

func (s *session) writeInterim() error {
	w := s.server.buffers.writer(progressWriter{s})
	defer s.server.buffers.putWriter(w)
	_, _ = w.WriteString("HTTP/1.1 100 Continue\r\n\r\n")
	if err := w.Flush(); err != nil {
		return fmt.Errorf("write interim answer: %w", err)
	}
	return nil
}

// closesAfterAnswer reports whether the session closes after the answer that is written next, and then marks it as
// closed.
func (s *session) closesAfterAnswer() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.closing || s.pending > 1 {
		return false
	}
	s.closed = true
	return true
}

func (s *session) answerDone() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.pending--
	if s.closed && s.pending == 0 {
		s.interruptRead()
	}
}
