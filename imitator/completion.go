package imitator

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"celeryvalve/repeater"
)

// defaultTokens is the length of an answer whose request sets no max_tokens.
const defaultTokens = 16

var errCutOff = errors.New("answer is cut off")

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completionRequest struct {
	Model     string        `json:"model"`
	Prompt    string        `json:"prompt"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

// text returns the prompt, or the messages as one prompt.
func (c completionRequest) text() string {
	var b strings.Builder
	b.WriteString(c.Prompt)
	for _, m := range c.Messages {
		b.WriteString(m.Role + ": " + m.Content + "\n")
	}
	return b.String()
}

type completionChoice struct {
	Index        int          `json:"index"`
	Text         *string      `json:"text,omitempty"`
	Delta        *chatMessage `json:"delta,omitempty"`
	Message      *chatMessage `json:"message,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type completionUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type completionResponse struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   *completionUsage   `json:"usage,omitempty"`
}

// completion is one request while it runs.
type completion struct {
	e      *Engine
	w      http.ResponseWriter
	r      *http.Request
	req    completionRequest
	body   []byte
	chat   bool
	served Served
	tokens []string
	m      Misbehaviour
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	c := &completion{e: e, w: w, r: r, chat: strings.Contains(r.URL.Path, "/chat/"), m: e.sw.Get()}
	if !c.read() || !c.choose() {
		return
	}
	priority, _ := strconv.Atoi(r.Header.Get(HeaderPriority))
	if err := e.batch.enter(r.Context(), priority); err != nil {
		return
	}
	defer e.batch.leave()
	run := e.history.Start(r, c.served)
	defer e.finish(r, run)
	if matches(c.body, c.m.CrashOn) {
		e.die(run)
	}
	if err := c.run(); err != nil {
		panic(http.ErrAbortHandler) // the connection breaks off, the server lives on
	}
}

// read takes in the body and answers a malformed one.
func (c *completion) read() bool {
	body, err := readBody(c.r)
	if err == nil {
		err = json.Unmarshal(body, &c.req)
	}
	if err != nil {
		c.refuse(http.StatusBadRequest, "invalid_request_error", err.Error())
		return false
	}
	c.body = body
	return true
}

// choose settles which weights answer, for the whole of the answer.
func (c *completion) choose() bool {
	served, loaded, known := c.e.serve(c.req.Model)
	if !loaded {
		c.refuse(http.StatusServiceUnavailable, "service_unavailable", "no model is loaded")
		return false
	}
	if !known {
		c.refuse(http.StatusNotFound, "model_not_found", "model "+c.req.Model+" is not loaded")
		return false
	}
	c.served = served
	n := c.req.MaxTokens
	if n <= 0 {
		n = defaultTokens
	}
	prompt := c.req.text()
	before := c.e.cross(prompt)
	if c.m.Crossed && before != "" {
		prompt = before
	}
	c.tokens = Tokens(served, prompt, n)
	return true
}

// refuse answers in the form of the usual engines.
func (c *completion) refuse(status int, kind, message string) {
	writeJSON(c.w, status, map[string]map[string]string{"error": {"type": kind, "message": message}})
}

func (c *completion) run() error {
	cached := c.e.cache.use(BlocksOf(c.served, c.req.text()))
	if err := c.pause(time.Duration(float64(c.e.cfg.FirstTokenDelay) * (1 - cached))); err != nil {
		return err
	}
	if c.req.Stream {
		return c.stream()
	}
	return c.answer()
}

func (c *completion) pause(d time.Duration) error {
	return repeater.Sleep(c.r.Context(), c.e.clock, time.Duration(float64(d)*c.m.slow()))
}

// step waits for the next token's time and fails at a stall.
func (c *completion) step(i int) error {
	if i > 0 {
		crowd := 1 + c.e.cfg.SlowdownPerRequest*float64(c.e.batch.others())
		if err := c.pause(time.Duration(float64(c.e.cfg.TokenInterval) * crowd)); err != nil {
			return err
		}
	}
	if i == len(c.tokens)/2 && (c.m.StallAll || matches(c.body, c.m.StallOn)) {
		<-c.r.Context().Done()
		return errCutOff
	}
	if i == len(c.tokens)-1 {
		return repeater.Sleep(c.r.Context(), c.e.clock, time.Duration(c.m.Late))
	}
	return nil
}

// stream sends one event a token, then the end mark.
func (c *completion) stream() error {
	events := newEventStream(c.w)
	for i, token := range c.tokens {
		if c.m.Short && i >= (len(c.tokens)+1)/2 {
			return nil
		}
		if err := c.step(i); err != nil {
			return err
		}
		data, _ := json.Marshal(c.response(token, i == len(c.tokens)-1))
		events.send(string(data))
	}
	events.send("[DONE]")
	return nil
}

// answer sends the whole text at once.
func (c *completion) answer() error {
	for i := range c.tokens {
		if err := c.step(i); err != nil {
			return err
		}
	}
	resp := c.response(strings.Join(c.tokens, ""), true)
	resp.Usage = c.usage()
	data, _ := json.Marshal(resp)
	c.w.Header().Set("Content-Type", "application/json")
	c.w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	if c.m.Short {
		data = data[:len(data)/2]
	}
	_, err := c.w.Write(data)
	return err
}

func (c *completion) usage() *completionUsage {
	prompt := len(strings.Fields(c.req.text()))
	return &completionUsage{
		PromptTokens:     prompt,
		CompletionTokens: len(c.tokens),
		TotalTokens:      prompt + len(c.tokens),
	}
}

func (c *completion) response(text string, last bool) completionResponse {
	resp := completionResponse{
		ID:      "cmpl-" + c.r.Header.Get(HeaderRequestID),
		Object:  "text_completion",
		Created: c.e.clock.Now().Unix(),
		Model:   c.served.String(),
	}
	choice := completionChoice{}
	switch {
	case c.chat && c.req.Stream:
		resp.Object = "chat.completion.chunk"
		choice.Delta = &chatMessage{Role: "assistant", Content: text}
	case c.chat:
		resp.Object = "chat.completion"
		choice.Message = &chatMessage{Role: "assistant", Content: text}
	default:
		choice.Text = &text
	}
	if last {
		reason := "stop"
		choice.FinishReason = &reason
	}
	resp.Choices = []completionChoice{choice}
	return resp
}
