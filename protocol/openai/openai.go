// Package openai defines the part of the OpenAI HTTP interface that callers use.
package openai

import (
	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// Request holds the fields that the system reads of a completion request.
// Every other field passes to the engine unread.
type Request struct {
	Model               id.Model      `json:"model"`
	Stream              bool          `json:"stream"`
	MaxTokens           int           `json:"max_tokens"`
	MaxCompletionTokens int           `json:"max_completion_tokens"`
	Messages            FieldPresence       `json:"messages"`
	Prompt              FieldPresence       `json:"prompt"`
	N                   int           `json:"n"`
	StreamOptions       StreamOptions `json:"stream_options"`
}

// FieldPresence says that a field is there. Its value, which may be very long, is not copied.
type FieldPresence bool

// UnmarshalJSON notes that the field is there and is not null.
func (pr *FieldPresence) UnmarshalJSON(value []byte) error {
	*pr = string(value) != "null"
	return nil
}

// StreamOptions asks for additions to a streamed answer.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// MaxAnswerTokens returns the longest answer that the caller asked for, or 0.
func (rq Request) MaxAnswerTokens() int {
	if rq.MaxCompletionTokens > 0 {
		return rq.MaxCompletionTokens
	}
	return rq.MaxTokens
}

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// Choice is one answer of a completion or a part of it.
type Choice struct {
	Index        int      `json:"index"`
	Message      *Message `json:"message,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Usage counts the tokens of a completion.
type Usage struct {
	PromptTokens     id.Tokens `json:"prompt_tokens"`
	CompletionTokens id.Tokens `json:"completion_tokens"`
	TotalTokens      id.Tokens `json:"total_tokens"`
}

// Completion is a whole answer or one chunk of a streamed answer.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   id.Model `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Model is one entry of the list of models.
type Model struct {
	ID      id.Model `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	OwnedBy string   `json:"owned_by"`
}

// Models is the list of models that a key may use.
type Models struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}

// Error is the body of an answer that is not a completion.
type Error struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error in the usual OpenAI fields, and whether the request ran.
type ErrorDetail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
	// Outcome is "not_run" or "may_have_run".
	Outcome string `json:"outcome"`
}

// Addresses tells callers which entry hosts to use and for how long to keep the answer.
type Addresses struct {
	Addresses []string `json:"addresses"`
	// KeepSeconds is how long the answer is valid.
	KeepSeconds int `json:"keep_seconds"`
}
