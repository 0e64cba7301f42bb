package blnotice

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blhttp"
	"basillift.dev/basillift/bllog"
)

// MethodCondition is the control method by which observers report to the notifier.
const MethodCondition = "condition"

const (
	// observeInterval is how often the conditions are evaluated.
	observeInterval = time.Second
	// deliveryTimeout limits one HTTP POST to the operators' receiver.
	deliveryTimeout = 5 * time.Second
	// idleTimeout closes the connection to the receiver between notices.
	idleTimeout = 10 * time.Second
	// reportTimeout limits a report to the notifier, which may deliver the notice before it answers.
	reportTimeout = 2 * deliveryTimeout
)

// maxResponseBytes is how much of a receiver's response is read. Its content does not matter, but that it is complete.
const maxResponseBytes = 64 << 10

// ErrDelivery means that the receiver of notices did not accept one.
var ErrDelivery = eris.New("notice not accepted")

// Detector returns the conditions that hold at the given time in one daemon's view.
type Detector func(now time.Time) []Condition

// Service observes conditions and reports them to the notifier. While its own daemon is the notifier, it
// delivers the notices.
type Service struct {
	directory   basillift.Directory
	peers       basillift.Peers
	recorder    basillift.Recorder
	log         *bllog.Logger
	detect      Detector
	receiverURL string
	client      *http.Client
	observer    *Observer

	mutex   sync.Mutex
	tracker *AlertTracker
}

// NewService returns a service that posts notices to the URL. With an empty URL, the notices are only listed by
// GET /notices.
func NewService(d basillift.Directory, p basillift.Peers, r basillift.Recorder, l *bllog.Logger, detect Detector, url string) *Service {
	return &Service{
		directory: d, peers: p, recorder: r, log: l, detect: detect, receiverURL: url,
		client: &http.Client{
			Transport: blhttp.CheckResponses(&http.Transport{IdleConnTimeout: idleTimeout}, &net.Dialer{}), Timeout: deliveryTimeout,
			// A redirect is not an acceptance.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		observer: NewObserver(), tracker: NewAlertTracker(),
	}
}

// Run observes and reports until ctx ends.
func (s *Service) Run(ctx context.Context) {
	s.loop(ctx)
}

func (s *Service) loop(ctx context.Context) {
	ticker := time.NewTicker(observeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s.step(ctx, now)
		}
	}
}

func (s *Service) step(ctx context.Context, now time.Time) {
	for _, r := range s.observer.Observe(now, s.detect(now)) {
		id := r.Condition().ID()
		sent, err := s.report(ctx, now, r)
		if err != nil {
			s.observer.Retry(id)
			continue
		}
		if sent {
			s.observer.MarkSent(id)
		}
	}
	s.mutex.Lock()
	closed := s.tracker.CloseExpired(now)
	s.mutex.Unlock()
	for _, n := range closed {
		s.send(n)
	}
}

func (s *Service) report(ctx context.Context, now time.Time, r Report) (bool, error) {
	notifier := Notifier(s.directory.Members())
	if notifier == s.directory.Self().ID() || notifier == "" {
		return s.acceptReport(now, r), nil
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var answer Acknowledgement
	params := Observed{
		Kind: string(r.condition.kind), Subject: r.condition.subject, Detail: r.condition.detail,
		Since: int(r.since.UnixMilli()), Sent: r.sent,
	}
	if err := s.peers.Call(ctx, notifier, MethodCondition, params, &answer); err != nil {
		return false, fmt.Errorf("report condition to %s: %w", notifier, err)
	}
	return answer.Sent, nil
}

// Handle answers the control method condition. It returns basillift.ErrRefused for an unknown kind.
func (s *Service) Handle(now time.Time, params json.RawMessage) (Acknowledgement, error) {
	var o Observed
	if err := json.Unmarshal(params, &o); err != nil {
		return Acknowledgement{}, fmt.Errorf("decode condition: %w", err)
	}
	c := NewCondition(Kind(o.Kind), o.Subject, o.Detail)
	if c.kind.Action() == "" {
		return Acknowledgement{}, fmt.Errorf("condition kind %q is unknown: %w", o.Kind, basillift.ErrRefused)
	}
	return Acknowledgement{Sent: s.acceptReport(now, NewReport(c, time.UnixMilli(int64(o.Since)), o.Sent))}, nil
}

// acceptReport records a report as the notifier and reports whether its notice was sent, now or before.
func (s *Service) acceptReport(now time.Time, r Report) bool {
	s.mutex.Lock()
	notice, due := s.tracker.Report(now, r)
	known := s.tracker.IsOpen(r.condition.ID())
	s.mutex.Unlock()
	if !due {
		return known
	}
	if s.send(notice) {
		return true
	}
	s.mutex.Lock()
	s.tracker.Discard(r.condition.ID())
	s.mutex.Unlock()
	return false
}

// Open returns the alerts that are open on this daemon, sorted by id.
func (s *Service) Open() []Message {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	open := s.tracker.Open()
	messages := make([]Message, 0, len(open))
	for _, n := range open {
		messages = append(messages, s.message(n))
	}
	return messages
}

func (s *Service) send(n Notice) bool {
	kind := basillift.EventNoticeOpened
	if n.phase == PhaseClosed {
		kind = basillift.EventNoticeClosed
	}
	s.recorder.Record(basillift.NewEvent(n.at, kind).WithKey(n.report.condition.ID()).
		WithDetail(string(n.report.condition.kind) + " " + n.report.condition.subject))
	if s.receiverURL == "" {
		return true
	}
	if err := s.post(s.message(n)); err != nil {
		s.log.Failure(bllog.NoticeFailed(), err)
		return false
	}
	s.log.Event(bllog.NoticeSent()).Str("id", n.report.condition.ID()).Str("kind", string(n.report.condition.kind)).Send()
	return true
}

func (s *Service) message(n Notice) Message {
	c := n.report.condition
	return Message{
		Id: c.ID(), Kind: string(c.kind), Phase: string(n.phase), Subject: c.subject,
		Since: n.report.since.UTC().Format(time.RFC3339), Detail: c.detail, Action: c.kind.Action(),
		Sender: string(s.directory.Self().ID()),
	}
}

func (s *Service) post(m Message) error {
	body, err := json.Marshal(m)
	if err != nil {
		return fmt.Errorf("encode notice: %w", err)
	}
	response, err := s.client.Post(s.receiverURL, "application/json", bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("post notice: %w", errors.Join(ErrDelivery, err))
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("post notice: status %d: %w", response.StatusCode, ErrDelivery)
	}
	if _, err = io.Copy(io.Discard, io.LimitReader(response.Body, maxResponseBytes)); err != nil {
		return fmt.Errorf("post notice: %w", errors.Join(ErrDelivery, err))
	}
	return nil
}
