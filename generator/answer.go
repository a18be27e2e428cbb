package generator

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"

	"celeryvalve/identifier"
	"celeryvalve/imitator"
)

const (
	dataPrefix = "data: "
	endMark    = "[DONE]"
	// maxLine is the longest line of a stream that is read, in bytes.
	maxLine = 1 << 20
)

type answerPart struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
	} `json:"choices"`
	Error json.RawMessage `json:"error"`
}

func (p answerPart) text() string {
	if len(p.Choices) == 0 {
		return ""
	}
	return p.Choices[0].Text + p.Choices[0].Delta.Content + p.Choices[0].Message.Content
}

// readStream reads a streamed completion up to its end and notes the times of its
// tokens.
func readStream(body io.Reader, prompt string, clock clockwork.Clock, rec *Record) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLine)
	var text strings.Builder
	last := rec.Due
	ended := false
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), dataPrefix)
		if !ok {
			continue
		}
		if data == endMark {
			ended = true
			continue
		}
		var part answerPart
		if err := json.Unmarshal([]byte(data), &part); err != nil || part.Error != nil || ended {
			rec.Fault = "stream has a malformed event, an error event or one after its end mark"
			return nil
		}
		text.WriteString(part.text())
		last = noteToken(rec, last, clock.Now())
	}
	switch {
	case !ended:
		rec.Fault = "stream ends without its end mark"
	case !answers(text.String(), prompt):
		rec.Fault = "answer is not whole or belongs to another request"
	}
	return lines.Err()
}

// noteToken notes the time of one more token and returns it.
func noteToken(rec *Record, last, now time.Time) time.Time {
	rec.Tokens++
	gap := imitator.Duration(now.Sub(last))
	if rec.Tokens == 1 {
		rec.FirstToken = gap
	} else {
		rec.Between = append(rec.Between, gap)
	}
	return now
}

// readWhole reads a completion in one piece.
func readWhole(body io.Reader, prompt string, rec *Record) error {
	data, err := io.ReadAll(body)
	if err != nil {
		return err
	}
	var part answerPart
	if err := json.Unmarshal(data, &part); err != nil {
		rec.Fault = "answer is malformed"
		return nil
	}
	text := part.text()
	rec.Tokens = len(strings.Fields(text))
	if !answers(text, prompt) {
		rec.Fault = "answer is not whole or belongs to another request"
	}
	return nil
}

// readPlain reads any other answer. Its length is checked by net/http.
func readPlain(body io.Reader, rec *Record) error {
	data, err := io.ReadAll(body)
	rec.Digest = identifier.DigestOf(data)
	return err
}

// answers reports whether text is the stand-in engine's whole answer to prompt.
func answers(text, prompt string) bool {
	first, rest, _ := strings.Cut(text, " ")
	if !strings.HasSuffix(first, ":"+imitator.PromptHash(prompt)) {
		return false
	}
	return rest == "" || rest == "end" || strings.HasSuffix(rest, " end")
}

// promptOf returns the prompt in the body of a request.
func promptOf(body string) string {
	var req struct {
		Prompt   string `json:"prompt"`
		Messages []struct {
			Role    string `json:"role"`
			Content string `json:"content"`
		} `json:"messages"`
	}
	_ = json.Unmarshal([]byte(body), &req)
	prompt := req.Prompt
	for _, m := range req.Messages {
		prompt += m.Role + ": " + m.Content + "\n"
	}
	return prompt
}
