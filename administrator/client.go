package administrator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"celeryvalve/certifier"
	"celeryvalve/explainer"
	"celeryvalve/identifier"
)

const (
	clientTimeout = 10 * time.Second
	// hedgeDelay is how long a call waits for an answer before it also asks the
	// next replica.
	hedgeDelay = time.Second
	// maxAnswer limits the size of an answer; the rest is not read.
	maxAnswer identifier.ByteCount = 64 << 20
)

// Client calls the operators' API. It tries the replicas in order until one
// answers.
type Client struct {
	urls   []string
	source *certifier.Source
}

// NewClient returns a client of the replicas at urls that authenticates with the
// operator's certificate in source.
func NewClient(urls []string, source *certifier.Source) *Client {
	return &Client{urls: urls, source: source}
}

// Get reads the view at path.
func Get[T any](ctx context.Context, c *Client, path string) (T, error) {
	return call[T](ctx, c, http.MethodGet, path, nil)
}

// Post sends body in JSON to path.
func Post[T any](ctx context.Context, c *Client, path string, body any) (T, error) {
	return call[T](ctx, c, http.MethodPost, path, body)
}

// Delete sends a DELETE request to path.
func Delete[T any](ctx context.Context, c *Client, path string) (T, error) {
	return call[T](ctx, c, http.MethodDelete, path, nil)
}

// outcome is the answer of one replica, or the error of asking it.
type outcome struct {
	text []byte
	err  error
}

// call sends the request to one replica after another until one gives an outcome
// other than Unavailable. It asks the next replica at once when one is
// unavailable, and also whenever hedgeDelay passes without an outcome, since a
// frozen replica may still accept connections. Several replicas may therefore
// receive the request, so every request of the API must be safe to repeat.
func call[T any](ctx context.Context, c *Client, method, path string, body any) (T, error) {
	var answer T
	tlsConfig, err := c.source.ClientConfig("http/1.1")
	if err != nil {
		return answer, err
	}
	client := &http.Client{Timeout: clientTimeout, Transport: &http.Transport{TLSClientConfig: tlsConfig}}
	defer client.CloseIdleConnections()
	data, err := json.Marshal(body)
	if err != nil {
		return answer, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	outcomes := make(chan outcome, len(c.urls))
	text, err := firstAnswer(c.urls, outcomes, func(url string) {
		text, err := send(ctx, client, method, url+path, data)
		outcomes <- outcome{text, err}
	})
	if err != nil {
		return answer, err
	}
	if err := json.Unmarshal(text, &answer); err != nil {
		return answer, explainer.Wrap(err, explainer.Corrupt, "the answer of the control plane is malformed", "use a client of the same release")
	}
	return answer, nil
}

// firstAnswer asks the urls in turn and returns the first outcome that is not
// Unavailable. If all are Unavailable, it returns the last one.
func firstAnswer(urls []string, outcomes <-chan outcome, ask func(url string)) ([]byte, error) {
	asked, answered := 0, 0
	askNext := func() {
		if asked < len(urls) {
			go ask(urls[asked])
			asked++
		}
	}
	askNext()
	hedge := time.NewTicker(hedgeDelay)
	defer hedge.Stop()
	for {
		select {
		case <-hedge.C:
			askNext()
		case o := <-outcomes:
			answered++
			last := answered == len(urls)
			if explainer.KindOf(o.err) != explainer.Unavailable || last {
				return o.text, o.err
			}
			askNext()
		}
	}
}

// send makes one HTTP request and returns the body of the answer. It returns
// Unavailable if the server could not be reached or the body was cut off.
func send(ctx context.Context, client *http.Client, method, url string, data []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return nil, explainer.Wrap(err, explainer.InvalidInput, "the address of the control plane is not a URL", "write https://127.0.0.1:7402")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return nil, explainer.Wrap(err, explainer.Unavailable, "can't reach control at "+url,
			"check --control, and that the operator's key was issued by the authority of the control replicas")
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(resp.Body, int64(maxAnswer)))
	if err != nil {
		return nil, explainer.Wrap(err, explainer.Unavailable, "the answer of the control plane was cut off", "try again")
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errorFrom(resp.Status, text)
	}
	return text, nil
}

// errorFrom converts the body of an answer with an error status, a Problem in
// JSON, to an error of its kind.
func errorFrom(status string, text []byte) error {
	var p Problem
	if err := json.Unmarshal(text, &p); err != nil || p.Kind == "" {
		return explainer.New(explainer.Internal, fmt.Sprintf("the control replica answered with HTTP status %s", status), "read its log")
	}
	return explainer.New(p.Kind, p.Problem, p.Remedy)
}
