package peer

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/go-faster/errors"

	"github.com/hibiscuslever/hibiscuslever/coordination/balance"
	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/coordination/forward"
	"github.com/hibiscuslever/hibiscuslever/coordination/peerrelay"
	"github.com/hibiscuslever/hibiscuslever/coordination/requestlimit"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/serverlimit"
)

// Limits of relayed calls.
const (
	// maxRelayHeadBytes bounds the description of a call or of a response. JSON takes up to six bytes for one of a head.
	maxRelayHeadBytes = 1 << 20
	// maxRelayBodyBytes bounds the body of a relayed request.
	maxRelayBodyBytes = 64 << 20
	// maxRelayDataBytes bounds one frame with a part of a response's body.
	maxRelayDataBytes = 64 << 10
	// maxRelayMillis bounds times in the description of a call.
	maxRelayMillis = int64(24 * time.Hour / time.Millisecond)
)

// relayLengthBytes is the length of the number that says how long a description or a frame is.
const relayLengthBytes = 4

// frameType says what a frame of the response to a relayed call holds.
type frameType byte

// Values of frameType.
const (
	// headFrame is the first frame of a call that succeeded; its payload is a relayHead.
	headFrame frameType = 'H'
	// dataFrame is a part of the body of a backend server's response.
	dataFrame frameType = 'D'
	// endFrame is the end of a complete response. Without it, the response is not complete.
	endFrame frameType = 'E'
	// failureFrame ends a call that failed; its payload is a relayFailure.
	failureFrame frameType = 'F'
)

// octets is text that may hold any bytes. In JSON, each byte is one character, so that bytes that are not valid UTF-8
// stay unchanged.
type octets string

// MarshalText returns the text with each byte as one character.
func (oc octets) MarshalText() ([]byte, error) {
	encoded := make([]byte, 0, len(oc))
	for ix := range len(oc) {
		encoded = utf8.AppendRune(encoded, rune(oc[ix]))
	}
	return encoded, nil
}

// UnmarshalText is the inverse of MarshalText. A character that stands for no byte is an error.
func (oc *octets) UnmarshalText(text []byte) error {
	decoded := make([]byte, 0, len(text))
	for _, char := range string(text) {
		const maxByte = 0xff
		if char > maxByte {
			return fmt.Errorf("character %U stands for no byte", char)
		}
		decoded = append(decoded, byte(char))
	}
	*oc = octets(decoded)
	return nil
}

// relayCall describes a relayed call. The body of its request follows it.
type relayCall struct {
	Kind      peerrelay.Kind
	From      octets
	Address   octets
	TimeoutMs int64 `json:",omitempty"`

	// These fields describe an attempt. Server also names the engine of an order about memory.
	Request       octets              `json:",omitempty"`
	Server        octets              `json:",omitempty"`
	Method        octets              `json:",omitempty"`
	Target        octets              `json:",omitempty"`
	HostName      octets              `json:",omitempty"`
	Header        map[string][]octets `json:",omitempty"`
	Organisation  octets              `json:",omitempty"`
	RemainingMs   int64               `json:",omitempty"`
	ResumeAfter   octets              `json:",omitempty"`
	Helpers       []relayHelper       `json:",omitempty"`
	NewConnection bool                `json:",omitempty"`
	Urgency       int                 `json:",omitempty"`

	// These fields describe an order about memory.
	Ticket octets    `json:",omitempty"`
	Tokens id.Tokens `json:",omitempty"`
	TTLMs  int64     `json:",omitempty"`
}

// relayHelper is an engine that processes a part of the prompt.
type relayHelper struct {
	Engine  octets
	Address octets
	Ticket  octets `json:",omitempty"`
}

// relayHead describes the result of a call, and the head of the backend server's response if it was an attempt.
type relayHead struct {
	Status             int                 `json:",omitempty"`
	Header             map[string][]octets `json:",omitempty"`
	Length             int64               `json:",omitempty"`
	EndsWithConnection bool                `json:",omitempty"`
	NotRun             bool                `json:",omitempty"`
	Misdirected        bool                `json:",omitempty"`
	Leaving            bool                `json:",omitempty"`
	RequestLimit       float64             `json:",omitempty"`
	InvalidLimit       octets              `json:",omitempty"`
	RetryAfterMs       int64               `json:",omitempty"`
	ColdForMs          int64               `json:",omitempty"`
	FailedEngine       octets              `json:",omitempty"`
	Load               *balance.Load       `json:",omitempty"`

	Probe        forward.ProbeResult `json:",omitempty"`
	ReachesOther bool                `json:",omitempty"`
	Granted      bool                `json:",omitempty"`
}

// relayFailure describes a call that failed.
type relayFailure struct {
	Reason            peerrelay.Reason
	NotSent           bool `json:",omitempty"`
	ConnectionRefused bool `json:",omitempty"`
	Stale             bool `json:",omitempty"`
	ReachesOther      bool `json:",omitempty"`
	Detail            octets
}

func encodeHeader(header http.Header) map[string][]octets {
	encoded := make(map[string][]octets, len(header))
	for name, values := range header {
		for _, value := range values {
			encoded[name] = append(encoded[name], octets(value))
		}
	}
	return encoded
}

func decodeHeader(encoded map[string][]octets) http.Header {
	header := make(http.Header, len(encoded))
	for name, values := range encoded {
		for _, value := range values {
			header[name] = append(header[name], string(value))
		}
	}
	return header
}

// encodeRelayCall returns the wire form of a call: the length of its description, the description and the body.
func encodeRelayCall(call peerrelay.Call) ([]byte, error) {
	message := relayCall{
		Kind: call.Kind, From: octets(call.From), Address: octets(call.Address), TimeoutMs: call.Timeout.Milliseconds(),
		Server: octets(call.Engine), Ticket: octets(call.Ticket), Tokens: call.Tokens, TTLMs: call.TTL.Milliseconds(),
	}
	var body []byte
	if attempt := call.Attempt; attempt.Request != nil {
		message.Request, message.Server = octets(attempt.ID), octets(attempt.Server)
		message.Method, message.Target, message.HostName = octets(attempt.Method), octets(attempt.Target), octets(attempt.HostName)
		message.Header, message.Organisation = encodeHeader(attempt.Header), octets(attempt.Organisation)
		message.RemainingMs, message.ResumeAfter = attempt.Remaining.Milliseconds(), octets(attempt.ResumeAfter)
		message.NewConnection, message.Urgency = attempt.NewConnection, attempt.Urgency
		for _, helper := range attempt.Helpers {
			message.Helpers = append(message.Helpers, relayHelper{Engine: octets(helper.Engine), Address: octets(helper.Address), Ticket: octets(helper.Ticket)})
		}
		body = attempt.Body
	}
	description, err := json.Marshal(message)
	if err != nil {
		return nil, errors.Wrap(err, "encode relayed call")
	}
	if len(description) > maxRelayHeadBytes || len(body) > maxRelayBodyBytes {
		return nil, errors.New("the relayed call is too long")
	}
	encoded := binary.BigEndian.AppendUint32(make([]byte, 0, relayLengthBytes+len(description)+len(body)), uint32(len(description)))
	return append(append(encoded, description...), body...), nil
}

// decodeRelayCall reads a call up to the end of the input.
func decodeRelayCall(input io.Reader) (peerrelay.Call, error) {
	var length [relayLengthBytes]byte
	if _, err := io.ReadFull(input, length[:]); err != nil {
		return peerrelay.Call{}, errors.Wrap(err, "read the length of a relayed call")
	}
	size := binary.BigEndian.Uint32(length[:])
	if size > maxRelayHeadBytes {
		return peerrelay.Call{}, fmt.Errorf("the description of a relayed call has %d bytes", size)
	}
	description := make([]byte, size)
	if _, err := io.ReadFull(input, description); err != nil {
		return peerrelay.Call{}, errors.Wrap(err, "read a relayed call")
	}
	var message relayCall
	if err := json.Unmarshal(description, &message); err != nil {
		return peerrelay.Call{}, errors.Wrap(err, "decode a relayed call")
	}
	body, err := io.ReadAll(io.LimitReader(input, maxRelayBodyBytes+1))
	if err != nil {
		return peerrelay.Call{}, errors.Wrap(err, "read the body of a relayed call")
	}
	if err := message.check(len(body)); err != nil {
		return peerrelay.Call{}, err
	}
	return message.call(body), nil
}

// check reports values that are out of range.
func (rc relayCall) check(bodyLength int) error {
	switch {
	case bodyLength > maxRelayBodyBytes:
		return errors.New("the body of a relayed call is too long")
	case rc.Address == "":
		return errors.New("a relayed call has no address")
	case rc.Kind == peerrelay.Send && (rc.Request == "" || rc.Server == "" || rc.Method == "" || rc.Target == ""):
		return errors.New("a relayed attempt lacks its request, server, method or target")
	case rc.Tokens < 0 || rc.Tokens > id.MaxTokens:
		return fmt.Errorf("a relayed call names %d tokens", rc.Tokens)
	}
	if !rc.fitsRequestHead() {
		return errors.New("a relayed attempt has a line break in its request line or header")
	}
	for _, millis := range []int64{rc.TimeoutMs, rc.RemainingMs, rc.TTLMs} {
		if millis > maxRelayMillis || millis < -maxRelayMillis {
			return fmt.Errorf("a relayed call names %d ms", millis)
		}
	}
	return nil
}

// fitsRequestHead reports whether no part of the request's head would end a line of it.
func (rc relayCall) fitsRequestHead() bool {
	parts := []octets{rc.Method, rc.Target, rc.HostName, rc.Request, rc.Server, rc.Organisation, rc.ResumeAfter}
	for name, values := range rc.Header {
		parts = append(append(parts, octets(name)), values...)
	}
	for _, helper := range rc.Helpers {
		parts = append(parts, helper.Address, helper.Ticket)
	}
	return !slices.ContainsFunc(parts, func(part octets) bool { return strings.ContainsAny(string(part), "\r\n\x00") }) &&
		!strings.ContainsAny(string(rc.Method)+string(rc.Target), " ")
}

// call returns the call that the message describes.
func (rc relayCall) call(body []byte) peerrelay.Call {
	call := peerrelay.Call{
		Kind: rc.Kind, From: id.Host(rc.From), Address: string(rc.Address), Timeout: time.Duration(rc.TimeoutMs) * time.Millisecond,
		Ticket: string(rc.Ticket), Tokens: rc.Tokens, TTL: time.Duration(rc.TTLMs) * time.Millisecond,
	}
	if rc.Kind != peerrelay.Send {
		call.Engine = id.Engine(rc.Server)
		return call
	}
	call.Attempt = forward.Attempt{
		Request: &forward.Request{
			ID: string(rc.Request), Method: string(rc.Method), Target: string(rc.Target), HostName: string(rc.HostName),
			Header: decodeHeader(rc.Header), Body: body, Organisation: id.Organisation(rc.Organisation),
		},
		Server: id.BackendServer(rc.Server), Address: string(rc.Address), Remaining: time.Duration(rc.RemainingMs) * time.Millisecond,
		ResumeAfter: string(rc.ResumeAfter), NewConnection: rc.NewConnection, Urgency: rc.Urgency,
	}
	for _, helper := range rc.Helpers {
		call.Attempt.Helpers = append(call.Attempt.Helpers, batch.Part{Engine: id.Engine(helper.Engine), Address: string(helper.Address), Ticket: string(helper.Ticket)})
	}
	return call
}

// encodeRelayHead returns the wire form of the result of a call.
func encodeRelayHead(answer peerrelay.Answer) relayHead {
	response := answer.Response
	return relayHead{
		Status: response.Status, Header: encodeHeader(response.Header), Length: response.Length, EndsWithConnection: response.EndsWithConnection,
		NotRun: response.NotRun, Misdirected: response.Misdirected, Leaving: response.Leaving,
		RequestLimit: float64(response.RequestLimit.Rate), InvalidLimit: octets(response.RequestLimit.Invalid),
		ColdForMs:    response.RequestLimit.ColdFor.Milliseconds(),
		RetryAfterMs: response.RetryAfter.Milliseconds(), FailedEngine: octets(response.FailedEngine), Load: response.Load,
		Probe: answer.Probe, ReachesOther: answer.ReachesOther, Granted: answer.Granted,
	}
}

// check reports values that are out of range.
func (rh relayHead) check(kind peerrelay.Kind) error {
	switch {
	case kind == peerrelay.Send && rh.Status < http.StatusOK:
		return fmt.Errorf("a relayed response has the status %d, which is not final", rh.Status)
	case rh.Length < -1:
		return fmt.Errorf("a relayed response has %d bytes", rh.Length)
	case rh.RequestLimit < 0:
		return fmt.Errorf("a relayed response names a limit of %g requests per second", rh.RequestLimit)
	case rh.Load != nil && (rh.Load.Running < 0 || rh.Load.Waiting < 0 || rh.Load.Slots < 0):
		return errors.New("a relayed response names a negative load")
	}
	return nil
}

// answer returns the result that the message describes, without the body of a response.
func (rh relayHead) answer() peerrelay.Answer {
	return peerrelay.Answer{
		Response: forward.Response{
			Status: rh.Status, Header: decodeHeader(rh.Header), Length: rh.Length, EndsWithConnection: rh.EndsWithConnection,
			NotRun: rh.NotRun, Misdirected: rh.Misdirected, Leaving: rh.Leaving,
			RequestLimit: requestlimit.Named{Rate: serverlimit.Rate(rh.RequestLimit), Invalid: string(rh.InvalidLimit), ColdFor: time.Duration(min(max(0, rh.ColdForMs), maxRelayMillis)) * time.Millisecond},
			RetryAfter:   time.Duration(min(max(0, rh.RetryAfterMs), maxRelayMillis)) * time.Millisecond, FailedEngine: string(rh.FailedEngine), Load: rh.Load,
		},
		Probe: rh.Probe, ReachesOther: rh.ReachesOther, Granted: rh.Granted,
	}
}

// writeFrame writes one frame.
func writeFrame(output io.Writer, kind frameType, payload []byte) error {
	frame := make([]byte, 0, 1+relayLengthBytes+len(payload))
	frame = binary.BigEndian.AppendUint32(append(frame, byte(kind)), uint32(len(payload)))
	_, err := output.Write(append(frame, payload...))
	return err
}

// writeJSONFrame writes a frame whose payload is a value in JSON.
func writeJSONFrame(output io.Writer, kind frameType, value any) error {
	payload, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return writeFrame(output, kind, payload)
}

// readFrameStart reads the type of the next frame and the length of its payload. The end of the input before the first
// byte of a frame is io.EOF.
func readFrameStart(input io.Reader) (frameType, int, error) {
	var start [1 + relayLengthBytes]byte
	if _, err := io.ReadFull(input, start[:]); err != nil {
		return 0, 0, err
	}
	kind, length := frameType(start[0]), binary.BigEndian.Uint32(start[1:])
	limits := map[frameType]uint32{headFrame: maxRelayHeadBytes, dataFrame: maxRelayDataBytes, endFrame: 0, failureFrame: maxRelayHeadBytes}
	limit, known := limits[kind]
	if !known || length > limit {
		return 0, 0, fmt.Errorf("a frame of type %q has %d bytes", rune(kind), length)
	}
	return kind, int(length), nil
}

// readPayload reads the payload of a frame into a value in JSON.
func readPayload(input io.Reader, length int, value any) error {
	payload := make([]byte, length)
	if _, err := io.ReadFull(input, payload); err != nil {
		return errors.Wrap(err, "read a frame")
	}
	if err := json.Unmarshal(payload, value); err != nil {
		return errors.Wrap(err, "decode a frame")
	}
	return nil
}

// failure returns the failure that the message describes. An unknown reason is kept as it is.
func (rf relayFailure) failure() *peerrelay.Failure {
	return &peerrelay.Failure{
		Reason: rf.Reason, NotSent: rf.NotSent, ConnectionRefused: rf.ConnectionRefused, Stale: rf.Stale, ReachesOther: rf.ReachesOther, Detail: string(rf.Detail),
	}
}
